#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <list>

namespace currantbeam {

/// Thrown in fibers that wait when their loop ends, so that they unwind. Not
/// an error, and not meant to be caught but by the loop.
struct LoopStopped {};

/// Lets a fiber wait for something that its own loop's thread signals.
class Wakeup {
 public:
  Wakeup() : fiber(boost::fibers::context::active()) {}
  Wakeup(const Wakeup&) = delete;
  auto operator=(const Wakeup&) -> Wakeup& = delete;

  /// Suspends the calling fiber until Wake().
  /// @throws LoopStopped if the loop ends first.
  auto Wait() -> void {
    if (this->done) return;
    if (IsStopping()) throw LoopStopped();
    this->place = Waiting().insert(Waiting().end(), this);
    this->waiting = true;
    this->fiber->suspend();
    if (!this->done) throw LoopStopped();
  }
  /// Call on the loop's thread, outside the waiting fiber.
  auto Wake() -> void {
    if (this->done) return;
    this->done = true;
    this->Resume();
  }

  /// Ends all waits of the calling thread, now and from here on.
  static auto StopAll() -> void {
    IsStopping() = true;
    while (!Waiting().empty()) Waiting().front()->Resume();
  }
  /// Lets the calling thread run a loop again.
  static auto Restart() -> void { IsStopping() = false; }

 private:
  static auto IsStopping() -> bool& {
    thread_local bool stopping = false;
    return stopping;
  }
  static auto Waiting() -> std::list<Wakeup*>& {
    thread_local std::list<Wakeup*> waiting;
    return waiting;
  }
  auto Resume() -> void {
    if (!this->waiting) return;
    this->waiting = false;
    Waiting().erase(this->place);
    boost::fibers::context::active()->schedule(this->fiber);
  }

  boost::fibers::context* fiber;
  std::list<Wakeup*>::iterator place;
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
/// @throws LoopStopped if the loop ends first; it then runs no handlers.
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
