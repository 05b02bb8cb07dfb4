#include "router/serving_check.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

/// A server that is full responds only once one of its requests has ended.
constexpr auto kHealthTimeout = std::chrono::milliseconds(400);
/// The maximum age of what is known of a server, as a part of the bound. The
/// rest is for what the age of a copy doesn't show: a store that drops its
/// history responds without rows for up to a second.
constexpr int kMaxAgeDivisor = 2;
/// The part of the bound that is left for a request to reach its server.
constexpr int kMaxSendTimeDivisor = 10;

}  // namespace

auto ServingCheck::KnownAge(const BackendTarget& target) const
    -> std::optional<Duration> {
  const auto& entry = target.entry;
  const bool is_in_use = this->directory.Find(entry.id).get() == &target;
  if (!is_in_use || entry.is_draining) return std::nullopt;
  const auto status = this->copy();
  std::optional<Duration> age;
  if (target.served_at && this->MayRelyOnServers(status)) {
    age = this->clock.Now() - *target.served_at;
  }
  if (!this->directory.HasCurrentEntry(entry.id)) return age;
  return std::min(age.value_or(status.age), status.age);
}

auto ServingCheck::MayRelyOnServers(const TableStatus& copy_status) const
    -> bool {
  return copy_status.is_cut_off ||
         copy_status.age < this->bound - this->bound / kMaxSendTimeDivisor;
}

auto ServingCheck::IsKnownToServe(const BackendTarget& target) const -> bool {
  const auto age = this->KnownAge(target);
  return age && *age < this->bound / kMaxAgeDivisor;
}

auto ServingCheck::Confirm(const BackendTargetPtr& target, Duration max_wait)
    -> bool {
  if (this->IsKnownToServe(*target)) return true;
  if (!this->MayRelyOnServers(this->copy())) return false;
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
  auto call = std::make_shared<Call>();
  this->calls[process] = call;
  // In a fiber of its own, as the first request may have less time left than
  // the others.
  FiberLoop::Current().Spawn([this, process, call, target] {
    TryStep("ask-server", [&, this] { this->RunCall(*target); });
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
                             {"servers_age_us", this->copy().age.count()}});
}

}  // namespace currantbeam
