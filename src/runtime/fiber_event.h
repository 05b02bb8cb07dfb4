#pragma once

#include <functional>
#include <list>

#include "core/clock.h"

namespace currantbeam {

/// An event that fibers of one loop wait for, each for a limited time.
class FiberEvent {
 public:
  /// Ends all current waits.
  auto Notify() -> void;
  /// Suspends the calling fiber until Notify(), at most for the time given.
  /// @throws LoopStopped if the loop stops first.
  auto WaitFor(Duration max_wait) -> void;

 private:
  std::list<std::function<void()>> waiting;  ///< Each ends one wait.
};

}  // namespace currantbeam
