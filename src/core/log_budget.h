#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/log_event.h"

namespace currantbeam {

/// Token buckets that limit the lines and bytes per second that a process logs.
/// As the tokens run out, lines of successful requests are dropped first, then
/// those of failed requests, and changes of the process's own state last.
class LogBudget {
 public:
  struct Options {
    double lines_per_second = 200;
    double bytes_per_second = 64 * 1024;
    /// Size of the buckets, in seconds of the rates.
    double burst_seconds = 5;
  };

  LogBudget(const Options& options, TimePoint now);

  /// @return whether a line for the event may be written; counts it as dropped
  /// otherwise.
  auto Admit(const LogEvent& event, TimePoint now) -> bool;
  /// Takes the bytes of an admitted line from the budget.
  auto ChargeBytes(std::size_t bytes) -> void;
  /// @return the number of lines dropped since the last call.
  auto TakeDroppedCount() -> std::uint64_t;

 private:
  auto Refill(TimePoint now) -> void;

  Options options;
  double lines;  ///< Tokens left.
  double bytes;  ///< Tokens left; negative after a long line.
  TimePoint refilled_at;
  std::uint64_t dropped = 0;
};

}  // namespace currantbeam
