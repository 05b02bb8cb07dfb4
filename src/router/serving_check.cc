#include "router/serving_check.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

/// A server that is full responds only once one of its requests has ended.
constexpr auto kHealthTimeout = std::chrono::milliseconds(400);

}  // namespace

auto ServingCheck::KnownAge(const BackendTarget& target) const
    -> std::optional<Duration> {
  const auto& entry = target.entry;
  const bool is_in_use = this->directory.Find(entry.id).get() == &target;
  if (!is_in_use || entry.is_draining) return std::nullopt;
  std::optional<Duration> age;
  if (target.served_at) age = this->clock.Now() - *target.served_at;
  if (!this->directory.HasCurrentEntry(entry.id)) return age;
  const auto copy_age = this->copy_age();
  return std::min(age.value_or(copy_age), copy_age);
}

auto ServingCheck::IsKnownToServe(const BackendTarget& target) const -> bool {
  const auto age = this->KnownAge(target);
  return age && *age < this->max_age;
}

auto ServingCheck::Confirm(const BackendTargetPtr& target, Duration max_wait)
    -> bool {
  if (this->IsKnownToServe(*target)) return true;
  const auto call = this->Ask(target);
  const auto give_up_at = this->clock.Now() + max_wait;
  while (!call->is_done && this->clock.Now() < give_up_at) {
    call->has_ended.WaitFor(give_up_at - this->clock.Now());
  }
  return this->IsKnownToServe(*target);
}

auto ServingCheck::Ask(const BackendTargetPtr& target)
    -> std::shared_ptr<Call> {
  const ServerProcess process{target->entry.id, target->entry.started};
  const auto running = this->calls.find(process);
  if (running != this->calls.end()) return running->second;
  const auto call = std::make_shared<Call>();
  this->calls[process] = call;
  // In a fiber of its own, as the first request may have less time left than
  // the others.
  FiberLoop::Current().Spawn([this, process, call, target] {
    this->RunCall(*target);
    call->is_done = true;
    call->has_ended.Notify();
    this->calls.erase(process);
  });
  return call;
}

auto ServingCheck::RunCall(BackendTarget& target) -> void {
  const auto entry = target.entry;
  const auto asked_at = this->clock.Now();
  const bool serves = this->health.Serves(entry, kHealthTimeout);
  const auto now = this->clock.Now();
  if (serves) {
    // It may have said so at any time since it was asked.
    target.served_at = std::max(target.served_at.value_or(asked_at), asked_at);
  } else {
    target.load.OnUnconfirmed(now);
  }
  Log(events::kServerAsked, {{"server", entry.id.Value()},
                             {"serves", serves},
                             {"took_us", (now - asked_at).count()},
                             {"servers_age_us", this->copy_age().count()}});
}

}  // namespace currantbeam
