#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <vector>

namespace currantbeam {

/// One thread that runs fibers over one Asio context. Fibers started here
/// stay on the thread, so they wait for Asio operations without locks.
class FiberLoop {
 public:
  FiberLoop();

  auto Io() -> boost::asio::io_context& { return this->io; }
  /// Runs until Stop(); call from the thread that is to be the loop.
  auto Run() -> void;
  /// May be called from any thread.
  auto Stop() -> void;
  /// Starts a fiber on the loop; may be called from any thread.
  auto Spawn(std::function<void()> body) -> void;
  /// Has something done when the loop has ended and no fiber is left; call on
  /// the loop.
  auto AtEnd(std::function<void()> cleanup) -> void;

  /// @return the loop that the calling thread runs.
  static auto Current() -> FiberLoop&;

 private:
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::atomic<bool> stopped{false};
  std::vector<std::function<void()>> cleanups;
};

/// Lets the calling fiber sleep without blocking its loop.
auto SleepFor(std::chrono::microseconds duration) -> void;

}  // namespace currantbeam
