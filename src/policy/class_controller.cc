#include "policy/class_controller.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// The waiting target is a p99, so one late request in 100 is tolerated.
constexpr double kMaxLateRatio = 0.01;
constexpr double kIncreaseFactor = 1.25;
constexpr double kDecayFactor = 0.95;
constexpr double kMaxWeightFactor = 16;
constexpr std::uint64_t kMinSamples = 10;
/// Lower bound of the maximum wait, as a fraction of the waiting target. The
/// maximum wait may be below the target because predicted waits are inexact.
constexpr double kMinWaitRatio = 0.4;

}  // namespace

auto ClassController::SetTargets(const std::vector<RequestClass>& classes)
    -> void {
  std::map<ClassName, State> next;
  for (const auto& request_class : classes) {
    State state;
    const auto existing = this->states.find(request_class.name);
    if (existing != this->states.end()) {
      state = existing->second;
    } else {
      state.policy.weight = request_class.share;
    }
    state.targets = request_class;
    const Duration target(request_class.waiting_target);
    const Duration upper_bound(request_class.deadline);
    state.policy.max_wait = std::clamp(
        existing == this->states.end() ? target : state.policy.max_wait,
        Duration(static_cast<std::int64_t>(static_cast<double>(target.count()) *
                                           kMinWaitRatio)),
        std::max(target, upper_bound));
    next.emplace(request_class.name, state);
  }
  this->states.swap(next);
}

auto ClassController::OnStarted(const ClassName& class_name, Duration waited)
    -> void {
  const auto found = this->states.find(class_name);
  if (found == this->states.end()) return;
  ++found->second.started;
  if (waited > found->second.targets.waiting_target) ++found->second.late;
}

auto ClassController::OnFinished(const ClassName& class_name, bool completed)
    -> void {
  const auto found = this->states.find(class_name);
  if (found == this->states.end()) return;
  ++found->second.finished;
  if (completed) ++found->second.completed;
}

auto ClassController::AdjustOne(State& state) -> void {
  auto& policy = state.policy;
  const auto& targets = state.targets;
  const auto target =
      static_cast<double>(Duration(targets.waiting_target).count());
  auto max_wait = static_cast<double>(policy.max_wait.count());
  const bool misses_waiting_target =
      state.started >= kMinSamples &&
      static_cast<double>(state.late) >
          kMaxLateRatio * static_cast<double>(state.started);
  const bool misses_completion_target =
      state.finished >= kMinSamples &&
      static_cast<double>(state.completed) <
          targets.completion_target * static_cast<double>(state.finished);
  if (misses_waiting_target || misses_completion_target) {
    policy.weight = std::min(policy.weight * kIncreaseFactor,
                             targets.share * kMaxWeightFactor);
  } else {
    policy.weight = std::max(policy.weight * kDecayFactor, targets.share);
  }
  if (misses_waiting_target) {
    max_wait = std::max(max_wait / kIncreaseFactor, target * kMinWaitRatio);
  } else if (misses_completion_target) {
    max_wait = std::min(max_wait * kIncreaseFactor, target);
  }
  policy.max_wait = Duration(static_cast<std::int64_t>(max_wait));
  state.started = state.late = state.finished = state.completed = 0;
}

auto ClassController::Adjust() -> void {
  for (auto& [name, state] : this->states) AdjustOne(state);
}

auto ClassController::PolicyFor(const ClassName& class_name) const
    -> ClassPolicy {
  const auto found = this->states.find(class_name);
  return found == this->states.end() ? ClassPolicy() : found->second.policy;
}

}  // namespace currantbeam
