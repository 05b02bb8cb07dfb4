#include "runtime/fiber_step.h"

#include <atomic>
#include <exception>

#include "core/events.h"

namespace currantbeam {
namespace {

auto FailureCount() -> std::atomic<std::uint64_t>& {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

}  // namespace

auto FailedSteps() -> std::uint64_t { return FailureCount(); }

auto TryStep(std::string_view fiber, const std::function<void()>& step)
    -> bool {
  try {
    step();
    return true;
  } catch (const std::exception& error) {
    ++FailureCount();
    Log(events::kFiberFailed, {{"fiber", fiber}, {"error", error.what()}});
    return false;
  }
}

}  // namespace currantbeam
