#pragma once

#include <optional>

#include "core/core.h"

namespace currantbeam {

/// Since when the store is known to have answered without an interruption, on
/// this host or on others that it received rows from.
class StoreContinuity {
 public:
  /// The store answered at that time.
  /// @param up_for  how long it had answered the host that received the answer
  ///   without an interruption; zero if unknown.
  auto OnAnswer(TimePoint at, Duration up_for) -> void;
  /// @return since when; nothing if no answer is known.
  [[nodiscard]] auto UpSince() const -> std::optional<TimePoint> {
    return this->since;
  }
  /// @return how long the store had answered without an interruption at that
  ///   time; zero if that is unknown.
  [[nodiscard]] auto UpFor(TimePoint at) const -> Duration;

 private:
  std::optional<TimePoint> since;
  TimePoint last_answer_at{};
};

}  // namespace currantbeam
