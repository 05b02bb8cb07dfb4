#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "runtime/simulated_timers.h"

namespace currantbeam {

/// An event loop that runs fibers and an Asio I/O context on one thread. Fibers
/// stay on the thread that started them, so those of one loop need no locks
/// among each other.
class FiberLoop {
 public:
  FiberLoop();
  /// A loop in simulated time, for tests: whenever all fibers wait, the clock
  /// is advanced to the next timer. Such a loop does no I/O.
  explicit FiberLoop(ManualClock& clock);

  auto Io() -> boost::asio::io_context& { return *this->io; }
  /// @return the I/O context, for objects that may outlive the loop.
  [[nodiscard]] auto WeakIo() const -> std::weak_ptr<boost::asio::io_context> {
    return this->io;
  }
  /// Runs the loop on the calling thread until Stop(). Then all waiting fibers
  /// unwind, and the cleanups run.
  auto Run() -> void;
  /// Makes Run() return; may be called from any thread.
  auto Stop() -> void;
  /// Starts a fiber on the loop; may be called from any thread.
  auto Spawn(std::function<void()> body) -> void;
  /// Adds a function that runs on the loop's thread after the loop has stopped
  /// and all fibers have ended. Call on the loop.
  auto AddCleanup(std::function<void()> cleanup) -> void;

  /// @return the timers of a loop in simulated time; null for any other loop.
  [[nodiscard]] auto Simulated() const -> SimulatedTimers* {
    return this->simulated.get();
  }

  /// @return the loop that runs on the calling thread; there must be one.
  static auto Current() -> FiberLoop&;

 private:
  std::shared_ptr<boost::asio::io_context> io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::atomic<bool> stopped{false};
  std::vector<std::function<void()>> cleanups;
  std::unique_ptr<SimulatedTimers> simulated;
};

/// Suspends the calling fiber without blocking its loop.
/// @throws LoopStopped if the loop stops first.
auto SleepFor(std::chrono::microseconds duration) -> void;

}  // namespace currantbeam
