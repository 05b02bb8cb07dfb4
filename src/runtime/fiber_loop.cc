#include "runtime/fiber_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <utility>

#include "runtime/await.h"
#include "runtime/fiber_step.h"

namespace currantbeam {
namespace {

constexpr std::size_t kStackBytes = 128 * 1024;

/// Round-robin scheduler that doesn't count Boost.Fiber's dispatcher fiber as
/// ready, so that the loop knows when it may block in Asio.
class LoopScheduler : public boost::fibers::algo::round_robin {
 public:
  auto awakened(boost::fibers::context* fiber) noexcept -> void override {
    if (!IsDispatcher(fiber)) ++this->ready;
    round_robin::awakened(fiber);
  }

  auto pick_next() noexcept -> boost::fibers::context* override {
    auto* fiber = round_robin::pick_next();
    if (fiber != nullptr && !IsDispatcher(fiber)) --this->ready;
    return fiber;
  }

  [[nodiscard]] auto has_ready_fibers() const noexcept -> bool override {
    return this->ready != 0;
  }

 private:
  static auto IsDispatcher(boost::fibers::context* fiber) -> bool {
    return fiber->is_context(boost::fibers::type::dispatcher_context);
  }

  std::size_t ready = 0;
};

auto CurrentLoop() -> FiberLoop*& {
  thread_local FiberLoop* loop = nullptr;
  return loop;
}

auto StackPool() -> boost::fibers::pooled_fixedsize_stack& {
  thread_local boost::fibers::pooled_fixedsize_stack pool(kStackBytes);
  return pool;
}

auto Launch(std::function<void()> body) -> void {
  auto run = [body = std::move(body)] {
    try {
      TryStep("task", body);
    } catch (const LoopStopped&) {
      // The stack of the fiber has been unwound.
    }
  };
  // The fiber gets its own copy, which keeps the stack memory alive: its stack
  // may be freed after the thread-local pool is destroyed.
  boost::fibers::pooled_fixedsize_stack stacks(StackPool());
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       std::move(stacks), std::move(run))
      .detach();
}

}  // namespace

FiberLoop::FiberLoop()
    : io(std::make_shared<boost::asio::io_context>(1)),
      work(this->io->get_executor()) {}

FiberLoop::FiberLoop(ManualClock& clock) : FiberLoop() {
  this->simulated = std::make_unique<SimulatedTimers>(clock);
}

auto FiberLoop::Run() -> void {
  CurrentLoop() = this;
  boost::fibers::use_scheduling_algorithm<LoopScheduler>();
  while (!this->stopped.load()) {
    while (boost::fibers::has_ready_fibers()) boost::this_fiber::yield();
    if (this->io->poll() != 0 || boost::fibers::has_ready_fibers()) continue;
    if (this->simulated && this->simulated->AdvanceToNext()) continue;
    this->io->run_one();
  }
  // No handler runs from here on, so fibers that still wait have to unwind.
  Wakeup::StopAll();
  while (boost::fibers::has_ready_fibers()) {
    boost::this_fiber::yield();
    Wakeup::StopAll();
  }
  for (const auto& cleanup : this->cleanups) cleanup();
  this->cleanups.clear();
  Wakeup::Restart();
  CurrentLoop() = nullptr;
}

auto FiberLoop::AddCleanup(std::function<void()> cleanup) -> void {
  this->cleanups.push_back(std::move(cleanup));
}

auto FiberLoop::Stop() -> void {
  this->stopped.store(true);
  boost::asio::post(*this->io, [] {});
}

auto FiberLoop::Spawn(std::function<void()> body) -> void {
  if (CurrentLoop() == this) {
    Launch(std::move(body));
    return;
  }
  boost::asio::post(*this->io, [body = std::move(body)]() mutable {
    Launch(std::move(body));
  });
}

auto FiberLoop::Current() -> FiberLoop& { return *CurrentLoop(); }

auto SleepFor(std::chrono::microseconds duration) -> void {
  if (auto* simulated = FiberLoop::Current().Simulated()) {
    Wakeup wakeup;
    const SimulatedTimers::Timer timer(*simulated, duration, wakeup);
    wakeup.Wait();
    return;
  }
  boost::asio::steady_timer timer(FiberLoop::Current().Io(), duration);
  Await([&](auto handler) { timer.async_wait(handler); });
}

}  // namespace currantbeam
