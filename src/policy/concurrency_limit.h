#pragma once

#include "core/core.h"

namespace currantbeam {

/// How much work a backend server is given at a time, from what the gateway
/// itself observes: a server starts cold and is ramped up, is given less when
/// it sheds load, and never more than its slots.
class ConcurrencyLimit {
 public:
  /// @param slots  work that the server can do at a time.
  ConcurrencyLimit(int slots, TimePoint now);

  /// @return how much work may be out at the server, at least 1.
  [[nodiscard]] auto Limit() const -> int;
  /// Notes that the server answered.
  auto OnAnswer(TimePoint now) -> void;
  /// Notes that the server refused work without running it.
  auto OnShed(TimePoint now) -> void;
  /// Starts the ramp anew, for a server that has restarted.
  auto Reset(TimePoint now) -> void;
  auto SetSlots(int slots) -> void { this->slots = slots; }

 private:
  int slots;
  double limit = 1;
  TimePoint last_decrease;
};

}  // namespace currantbeam
