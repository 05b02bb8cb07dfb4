#include "policy/class_controller.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr double kLateShare = 0.01;  ///< A p99 target tolerates 1 in 100.
constexpr double kRaise = 1.25;
constexpr double kDecay = 0.95;
constexpr double kMaxBoost = 16;
constexpr std::uint64_t kFewest = 10;
/// The share of the waiting target that a predicted wait may take up, since
/// predictions err.
constexpr double kTightest = 0.4;

}  // namespace

auto ClassController::SetTargets(const std::vector<RequestClass>& classes)
    -> void {
  std::map<ClassName, State> next;
  for (const auto& work : classes) {
    State state;
    const auto known = this->states.find(work.name);
    if (known != this->states.end()) {
      state = known->second;
    } else {
      state.policy.weight = work.share;
    }
    state.targets = work;
    const Duration target(work.waiting_target);
    const Duration most(work.deadline);
    state.policy.patience =
        std::clamp(known == this->states.end() ? target : state.policy.patience,
                   Duration(static_cast<std::int64_t>(
                       static_cast<double>(target.count()) * kTightest)),
                   std::max(target, most));
    next.emplace(work.name, state);
  }
  this->states.swap(next);
}

auto ClassController::OnStarted(const ClassName& work, Duration waited)
    -> void {
  const auto found = this->states.find(work);
  if (found == this->states.end()) return;
  ++found->second.started;
  if (waited > found->second.targets.waiting_target) ++found->second.late;
}

auto ClassController::OnEnded(const ClassName& work, bool completed) -> void {
  const auto found = this->states.find(work);
  if (found == this->states.end()) return;
  ++found->second.ended;
  if (completed) ++found->second.completed;
}

auto ClassController::AdjustOne(State& state) -> void {
  auto& policy = state.policy;
  const auto& targets = state.targets;
  const auto target =
      static_cast<double>(Duration(targets.waiting_target).count());
  auto patience = static_cast<double>(policy.patience.count());
  const bool misses_waiting =
      state.started >= kFewest &&
      static_cast<double>(state.late) >
          kLateShare * static_cast<double>(state.started);
  const bool misses_completion =
      state.ended >= kFewest &&
      static_cast<double>(state.completed) <
          targets.completion_target * static_cast<double>(state.ended);
  if (misses_waiting || misses_completion) {
    policy.weight = std::min(policy.weight * kRaise, targets.share * kMaxBoost);
  } else {
    policy.weight = std::max(policy.weight * kDecay, targets.share);
  }
  if (misses_waiting) {
    patience = std::max(patience / kRaise, target * kTightest);
  } else if (misses_completion) {
    patience = std::min(patience * kRaise, target);
  }
  policy.patience = Duration(static_cast<std::int64_t>(patience));
  state.started = state.late = state.ended = state.completed = 0;
}

auto ClassController::Adjust() -> void {
  for (auto& [name, state] : this->states) AdjustOne(state);
}

auto ClassController::PolicyOf(const ClassName& work) const -> ClassPolicy {
  const auto found = this->states.find(work);
  return found == this->states.end() ? ClassPolicy() : found->second.policy;
}

}  // namespace currantbeam
