#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace currantbeam {

/// Lets a fiber wait for something that its own loop's thread signals.
class Wakeup {
 public:
  Wakeup() : fiber(boost::fibers::context::active()) {}
  Wakeup(const Wakeup&) = delete;
  auto operator=(const Wakeup&) -> Wakeup& = delete;

  /// Suspends the calling fiber until Wake().
  auto Wait() -> void {
    if (this->done) return;
    this->waiting = true;
    this->fiber->suspend();
  }
  /// Call on the loop's thread, outside the waiting fiber.
  auto Wake() -> void {
    if (this->done) return;
    this->done = true;
    if (!this->waiting) return;
    boost::fibers::context::active()->schedule(this->fiber);
  }

 private:
  boost::fibers::context* fiber;
  bool done = false;
  bool waiting = false;
};

/// The outcome of an asynchronous operation.
struct AwaitResult {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

/// Starts an Asio operation and suspends the calling fiber until it is done.
/// @param start  called with the completion handler to hand to Asio.
template <typename Start>
auto Await(Start start) -> AwaitResult {
  AwaitResult result;
  Wakeup wakeup;
  start([&](boost::system::error_code error, std::size_t bytes = 0) {
    result.error = error;
    result.bytes = bytes;
    wakeup.Wake();
  });
  wakeup.Wait();
  return result;
}

}  // namespace currantbeam
