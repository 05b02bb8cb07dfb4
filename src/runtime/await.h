#pragma once

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <list>

#include "runtime/exception_state.h"

namespace currantbeam {

/// Thrown in waiting fibers when their loop stops, so that their stacks unwind.
/// Not derived from Error; other code must not swallow it, as the fiber has to
/// end.
struct LoopStopped {};

/// A one-shot event: one fiber waits for it, and code on the thread of the same
/// loop signals it. Created by the waiting fiber.
class Wakeup {
 public:
  Wakeup() : fiber(boost::fibers::context::active()) {}
  Wakeup(const Wakeup&) = delete;
  auto operator=(const Wakeup&) -> Wakeup& = delete;

  /// Suspends the calling fiber until Wake(); returns at once if that was
  /// already called.
  /// @throws LoopStopped if the loop stops first.
  auto Wait() -> void {
    if (this->done) return;
    if (IsStopping()) throw LoopStopped();
    this->position = WaitingList().insert(WaitingList().end(), this);
    this->waiting = true;
    const ExceptionState own_exceptions;
    this->fiber->suspend();
    if (!this->done) throw LoopStopped();
  }
  /// Signals the event. Call on the loop's thread; further calls do nothing.
  auto Wake() -> void {
    if (this->done) return;
    this->done = true;
    this->Resume();
  }

  /// Makes all current and future waits on the calling thread throw
  /// LoopStopped.
  static auto StopAll() -> void {
    IsStopping() = true;
    while (!WaitingList().empty()) WaitingList().front()->Resume();
  }
  /// Ends the effect of StopAll(), so that the calling thread can run another
  /// loop.
  static auto Restart() -> void { IsStopping() = false; }

 private:
  static auto IsStopping() -> bool& {
    thread_local bool stopping = false;
    return stopping;
  }
  static auto WaitingList() -> std::list<Wakeup*>& {
    thread_local std::list<Wakeup*> waiting;
    return waiting;
  }
  auto Resume() -> void {
    if (!this->waiting) return;
    this->waiting = false;
    WaitingList().erase(this->position);
    boost::fibers::context::active()->schedule(this->fiber);
  }

  boost::fibers::context* fiber;
  std::list<Wakeup*>::iterator position;
  bool done = false;
  bool waiting = false;
};

/// The result of an Asio operation: its error code, and the number of bytes
/// transferred.
struct AwaitResult {
  boost::system::error_code error;
  std::size_t bytes = 0;
};

/// Starts an Asio operation and suspends the calling fiber until it completes.
/// @param start  starts the operation with the completion handler that it is
///   called with.
/// @return the result; a failed operation doesn't throw.
/// @throws LoopStopped if the loop stops first, which runs no more handlers.
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
