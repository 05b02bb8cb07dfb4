#include "runtime/fiber_event.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "runtime/await.h"
#include "runtime/fiber_loop.h"

namespace currantbeam {
namespace {

/// Keeps a function in a list during its lifetime.
class Registration {
 public:
  Registration(std::list<std::function<void()>>& list,
               std::function<void()> function)
      : list(list), position(list.insert(list.end(), std::move(function))) {}
  ~Registration() { this->list.erase(this->position); }
  Registration(const Registration&) = delete;
  auto operator=(const Registration&) -> Registration& = delete;

 private:
  std::list<std::function<void()>>& list;
  std::list<std::function<void()>>::iterator position;
};

}  // namespace

auto FiberEvent::Notify() -> void {
  for (const auto& end_wait : this->waiting) end_wait();
}

auto FiberEvent::WaitFor(Duration max_wait) -> void {
  auto& loop = FiberLoop::Current();
  if (auto* simulated = loop.Simulated()) {
    Wakeup wakeup;
    const SimulatedTimers::Timer timer(*simulated, max_wait, wakeup);
    const Registration registration(this->waiting, [&] { wakeup.Wake(); });
    wakeup.Wait();
    return;
  }
  boost::asio::steady_timer timer(loop.Io(), max_wait);
  const Registration registration(this->waiting, [&] { timer.cancel(); });
  Await([&](auto handler) { timer.async_wait(handler); });
}

}  // namespace currantbeam
