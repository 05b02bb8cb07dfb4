#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/log_event.h"

namespace currantbeam {

/// Bounds the lines and bytes that a process logs. As the budget runs out, the
/// routine lines of requests are left out first, then those of requests that
/// failed; what changes the process's beliefs is kept longest.
class LogBudget {
 public:
  struct Options {
    double lines_per_second = 200;
    double bytes_per_second = 64 * 1024;
    /// What may be saved up, in seconds of the rates.
    double burst_seconds = 5;
  };

  LogBudget(const Options& options, TimePoint now);

  /// @return whether the event's line may be written.
  auto Admit(const LogEvent& event, TimePoint now) -> bool;
  /// A line that was admitted had this many bytes.
  auto Charge(std::size_t bytes) -> void;
  /// @return how many lines were left out since the last call.
  auto TakeDropped() -> std::uint64_t;

 private:
  auto Refill(TimePoint now) -> void;

  Options options;
  double lines;
  double bytes;
  TimePoint refilled_at;
  std::uint64_t dropped = 0;
};

}  // namespace currantbeam
