#pragma once

#include <map>

#include "core/clock.h"
#include "runtime/await.h"

namespace currantbeam {

/// The timers of a FiberLoop in simulated time. Runs on one loop.
class SimulatedTimers {
 public:
  explicit SimulatedTimers(ManualClock& clock) : clock(clock) {}

  /// Wakes a fiber after a time, unless it is destroyed first.
  class Timer {
   public:
    Timer(SimulatedTimers& timers, Duration duration, Wakeup& wakeup);
    ~Timer();
    Timer(const Timer&) = delete;
    auto operator=(const Timer&) -> Timer& = delete;

   private:
    SimulatedTimers& timers;
    std::multimap<TimePoint, Timer*>::iterator position;
    Wakeup& wakeup;
    bool is_due = false;

    friend class SimulatedTimers;
  };

  /// Advances the clock to the earliest timer and wakes its fiber.
  /// @return false if there is no timer.
  auto AdvanceToNext() -> bool;

 private:
  ManualClock& clock;
  std::multimap<TimePoint, Timer*> pending;
};

}  // namespace currantbeam
