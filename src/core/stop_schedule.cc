#include "core/stop_schedule.h"

namespace currantbeam {
namespace {

/// Fractions of the grace. What is left after kEndFraction is for the process
/// to end before it is killed.
constexpr double kAcceptFraction = 0.5;
constexpr double kServersFraction = 0.88;
constexpr double kRespondFraction = 0.92;
constexpr double kEndFraction = 0.95;

auto Scale(std::chrono::milliseconds duration, double fraction) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(duration) * fraction);
}

}  // namespace

StopSchedule::StopSchedule(TimePoint started_at,
                           std::chrono::milliseconds grace)
    : accept_until(started_at + Scale(grace, kAcceptFraction)),
      servers_until(started_at + Scale(grace, kServersFraction)),
      respond_at(started_at + Scale(grace, kRespondFraction)),
      end(started_at + Scale(grace, kEndFraction)) {}

}  // namespace currantbeam
