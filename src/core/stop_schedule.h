#pragma once

#include <chrono>

#include "core/clock.h"

namespace currantbeam {

/// A request that is about to be sent to a server.
struct PlannedSend {
  TimePoint at;               ///< When it is sent.
  TimePoint deadline;         ///< The request's own, whatever the stop allows.
  Duration expected_latency;  ///< Of the server's response.
  bool may_have_run = false;  ///< At the server of an earlier attempt.
};

/// When the requests in flight have to end because the process stops. Requests
/// compare their own deadlines with it, so it also applies to those that were
/// in flight before the stop began.
struct StopSchedule {
  /// @param started_at  when the process was told to stop.
  /// @param grace  how long it may run from then on.
  StopSchedule(TimePoint started_at, std::chrono::milliseconds grace);
  /// The schedule of a process that was not told to stop.
  StopSchedule() = default;

  /// @return whether the request may be sent although the process stops. One
  ///   whose deadline is later than `servers_until` could be cut while its
  ///   server runs it; after `overrun_until` it may not be sent unless it may
  ///   have run, as it can't be refused then.
  [[nodiscard]] auto Allows(const PlannedSend& send) const -> bool;

  /// Until when requests are sent to servers although the stop could cut them.
  TimePoint overrun_until = TimePoint::max();
  /// When no request is accepted any more, and idle connections are closed.
  TimePoint accept_until = TimePoint::max();
  /// The latest deadline that servers are given, so that they reject the
  /// requests that they haven't begun in time for the response to be relayed.
  TimePoint servers_until = TimePoint::max();
  /// When requests without a response get one from this host.
  TimePoint respond_at = TimePoint::max();
  /// When the process ends, and the responses that are being sent are cut.
  TimePoint end = TimePoint::max();
};

}  // namespace currantbeam
