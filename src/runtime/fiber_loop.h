#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <vector>

namespace currantbeam {

/// An event loop that runs fibers and an Asio I/O context on one thread. Fibers
/// stay on the thread that started them, so those of one loop need no locks
/// among each other.
class FiberLoop {
 public:
  FiberLoop();

  auto Io() -> boost::asio::io_context& { return this->io; }
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

  /// @return the loop that runs on the calling thread; there must be one.
  static auto Current() -> FiberLoop&;

 private:
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::atomic<bool> stopped{false};
  std::vector<std::function<void()>> cleanups;
};

/// Suspends the calling fiber without blocking its loop.
/// @throws LoopStopped if the loop stops first.
auto SleepFor(std::chrono::microseconds duration) -> void;

}  // namespace currantbeam
