#include "runtime/simulated_timers.h"

#include <algorithm>

namespace currantbeam {

SimulatedTimers::Timer::Timer(SimulatedTimers& timers, Duration duration,
                              Wakeup& wakeup)
    : timers(timers),
      position(timers.pending.emplace(timers.clock.Now() + duration, this)),
      wakeup(wakeup) {}

SimulatedTimers::Timer::~Timer() {
  if (!this->is_due) this->timers.pending.erase(this->position);
}

auto SimulatedTimers::AdvanceToNext() -> bool {
  if (this->pending.empty()) return false;
  const auto [due_at, timer] = *this->pending.begin();
  this->pending.erase(this->pending.begin());
  const auto step = due_at - this->clock.Now();
  this->clock.Advance(std::max(step, Duration(0)));
  timer->is_due = true;
  timer->wakeup.Wake();
  return true;
}

}  // namespace currantbeam
