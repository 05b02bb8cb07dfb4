#include "core/stop_schedule.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// Fractions of the grace. What is left after kEndFraction is for the process
/// to end before it is killed.
constexpr double kAcceptFraction = 0.5;
constexpr double kServersFraction = 0.88;
constexpr double kRespondFraction = 0.92;
constexpr double kEndFraction = 0.95;
/// Requests that are sent later than this after the SIGTERM must not be cut by
/// the stop.
constexpr auto kMaxOverrunTime = std::chrono::seconds(3);
/// The time from the SIGTERM to the start of the schedule.
constexpr auto kMaxSignalDelay = std::chrono::milliseconds(200);

auto Scale(std::chrono::milliseconds duration, double fraction) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(duration) * fraction);
}

}  // namespace

StopSchedule::StopSchedule(TimePoint started_at,
                           std::chrono::milliseconds grace)
    : overrun_until(started_at +
                    std::min<Duration>(Scale(grace, kAcceptFraction),
                                       kMaxOverrunTime - kMaxSignalDelay)),
      accept_until(started_at + Scale(grace, kAcceptFraction)),
      servers_until(started_at + Scale(grace, kServersFraction)),
      respond_at(started_at + Scale(grace, kRespondFraction)),
      end(started_at + Scale(grace, kEndFraction)) {}

auto StopSchedule::Allows(const PlannedSend& send) const -> bool {
  if (send.deadline <= this->servers_until) return true;
  if (send.at > this->overrun_until && !send.may_have_run) return false;
  return send.at + send.expected_latency <= this->servers_until;
}

}  // namespace currantbeam
