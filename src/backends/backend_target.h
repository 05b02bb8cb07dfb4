#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "backends/backend_entry.h"
#include "backends/typical_latency.h"
#include "policy/policy.h"

namespace currantbeam {

/// The load of one backend server as this gateway observes it: requests in
/// flight, latency and failures. Limits the requests in flight adaptively, and
/// ejects the server temporarily after consecutive failures.
class BackendLoad {
 public:
  /// @param slots  number of requests that the server can run concurrently.
  /// @param typical  latency of the service; shared by its servers.
  BackendLoad(int slots, std::shared_ptr<TypicalLatency> typical,
              TimePoint now);

  /// @return the requests from this gateway in flight at the server.
  [[nodiscard]] auto InFlight() const -> int { return this->in_flight; }
  /// @return the limit of requests in flight; may be below one.
  [[nodiscard]] auto Limit() const -> double { return this->limit; }
  /// @return the expected latency of one more request.
  [[nodiscard]] auto ExpectedLatency(TimePoint now) const -> Duration;
  /// @return the expected time between two responses to this gateway.
  [[nodiscard]] auto ResponseInterval(TimePoint now) const -> Duration;
  /// @return whether the server is temporarily excluded after failures.
  [[nodiscard]] auto IsEjected(TimePoint now) const -> bool {
    return now < this->ejected_until;
  }
  /// @return when the pause ends that the server asked for; in the past if it
  ///   asked for none.
  [[nodiscard]] auto PausedUntil() const -> TimePoint {
    return this->paused_until;
  }
  /// @return whether the server wants no requests for now.
  [[nodiscard]] auto IsPaused(TimePoint now) const -> bool {
    return now < this->paused_until;
  }
  /// @return whether one more request may be sent. A limit below one admits
  ///   that fraction of the calls, one request at a time, since many gateways
  ///   may share few slots.
  [[nodiscard]] auto Admit() -> bool;
  /// @return whether fewer requests are in flight than the limit, where a limit
  ///   below one counts as one.
  [[nodiscard]] auto HasCapacity() const -> bool {
    return this->in_flight < std::max(static_cast<int>(this->limit), 1);
  }

  /// Sets how many gateways may send requests to the server, which lowers or
  /// raises the maximum of this gateway's limit.
  auto SetGatewayCount(int gateways) -> void;

  /// Records a request sent. It is in flight until exactly one of the functions
  /// below is called for it.
  auto OnSent() -> void { ++this->in_flight; }
  /// The server responded.
  /// @param latency_target  of the request's route.
  auto OnResponse(TimePoint now, Duration latency, Duration latency_target)
      -> void;
  /// The server or the connection refused the request for lack of capacity.
  auto OnRefused(TimePoint now) -> void;
  /// The server failed the request or was unreachable.
  auto OnFailure(TimePoint now) -> void;
  /// Another server responds at the address: this one no longer runs.
  auto OnReplaced(TimePoint now) -> void;
  /// The server wants no requests for this long, which is limited.
  auto OnPaused(TimePoint now, Duration pause) -> void;
  /// The server was asked and has not responded that it serves. Other than
  /// after a failure, no request was in flight for it.
  auto OnUnconfirmed(TimePoint now) -> void;
  /// This gateway abandoned the request, which is no sign of the server's
  /// health.
  auto OnAbandoned() -> void { --this->in_flight; }

 private:
  auto Decrease(TimePoint now, double factor) -> void;

  int slots;
  int in_flight = 0;
  int consecutive_failures = 0;
  double max_limit;  ///< Upper bound of `limit`.
  double limit;
  /// Accumulates `limit` per call of Admit() while `limit` is below one.
  double credit = 0;
  /// Moving average; empty before the first response.
  std::optional<double> latency_us;
  std::shared_ptr<TypicalLatency> typical;
  TimePoint last_decrease;
  TimePoint last_response;
  TimePoint ejected_until;
  TimePoint paused_until;
  Duration ejection_time{0};
};

/// A backend server that requests may be sent to, with its observed state.
struct BackendTarget {
  BackendEntry entry;
  BackendLoad load;
  RetryAfterScheduler retry_scheduler;  ///< For clients it refused.
  /// The server has said at this time or later that it serves; empty if it
  /// has not.
  std::optional<TimePoint> served_at;
};

using BackendTargetPtr = std::shared_ptr<BackendTarget>;

}  // namespace currantbeam
