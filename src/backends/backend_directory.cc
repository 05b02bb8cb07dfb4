#include "backends/backend_directory.h"

#include <algorithm>
#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

/// If an entry expired while the store was unreachable, or was lost when it was
/// restored, a running server publishes it again within this time.
constexpr auto kEntryGracePeriod = std::chrono::milliseconds(2200);
/// A server that left during a partition is removed within three seconds after
/// the partition. This leaves 300 ms for the period of ApplyTimeouts() and for
/// requests on their way.
constexpr auto kMaxGraceAfterUnreachable = std::chrono::milliseconds(2700);
/// How long an outdated entry is held back. Longer than the store keeps the
/// entry of a server that no longer writes.
constexpr auto kOutdatedEntryHold = std::chrono::seconds(10);
/// How long a process that leaves is remembered without an entry; longer than
/// it may still be sent requests to.
constexpr auto kLeavingProcessMemory = std::chrono::minutes(10);
/// Typical latency of a service before any response.
constexpr auto kInitialLatency = std::chrono::milliseconds(80);

}  // namespace

auto BackendDirectory::SetServices(std::set<ServiceName> services) -> void {
  if (this->services == services) return;
  this->services = std::move(services);
  std::vector<BackendEntry> changed;
  for (const auto& [id, target] : this->targets) {
    const auto& entry = target->entry;
    if (!this->IsConfigured(entry.service)) changed.push_back(entry);
  }
  for (const auto& [id, entry] : this->set_aside) {
    if (this->IsConfigured(entry.service)) changed.push_back(entry);
  }
  for (const auto& entry : changed) {
    if (!this->Apply(entry)) continue;
    Log(events::kBackendKnown,
        {{"server", entry.id.Value()},
         {"service", entry.service.Value()},
         {"domain", entry.domain.Value()},
         {"state", entry.is_draining ? "draining" : "ready"}});
  }
}

auto BackendDirectory::SetAside(const BackendEntry& entry) -> void {
  if (this->set_aside.insert_or_assign(entry.id, entry).second) {
    Log(events::kBackendUnread,
        {{"server", entry.id.Value()},
         {"error", "no service '" + entry.service.Value() + "'"}});
  }
  this->held.erase(entry.id);
  this->expired.erase(entry.id);
  if (this->targets.count(entry.id) == 0) return;
  this->RemoveTarget(entry.id);
  this->Rebuild();
}

auto BackendDirectory::Apply(const BackendEntry& published) -> bool {
  if (!this->IsConfigured(published.service)) {
    this->SetAside(published);
    return false;
  }
  this->set_aside.erase(published.id);
  const auto entry = this->WithLeaving(published);
  const auto reason = this->CheckAge(entry);
  if (reason) {
    this->Hold(entry, *reason);
    return false;
  }
  this->Use(entry);
  return true;
}

auto BackendDirectory::WithLeaving(BackendEntry entry) const -> BackendEntry {
  const auto process = this->leaving.find(entry.id);
  entry.is_draining |= process != this->leaving.end() &&
                       process->second.started == entry.started;
  return entry;
}

auto BackendDirectory::OnLeaving(const ServerId& id,
                                 std::chrono::milliseconds started) -> void {
  const LeavingProcess process = {started,
                                  this->clock.Now() + kLeavingProcessMemory};
  this->leaving[id] = process;
  const auto target = this->targets.find(id);
  if (target == this->targets.end()) return;
  auto& entry = target->second->entry;
  if (entry.started != started || entry.is_draining) return;
  entry.is_draining = true;
  Log(events::kServerLeaving,
      {{"server", id.Value()}, {"started_ms", started.count()}});
  this->Rebuild();
}

auto BackendDirectory::ForgetLeavingProcesses(TimePoint now) -> void {
  for (auto it = this->leaving.begin(); it != this->leaving.end();) {
    const bool is_known = this->targets.count(it->first) != 0;
    if (is_known || now < it->second.remembered_until) {
      ++it;
    } else {
      it = this->leaving.erase(it);
    }
  }
}

auto BackendDirectory::CheckAge(const BackendEntry& entry) const
    -> std::optional<OutdatedReason> {
  const auto target = this->targets.find(entry.id);
  const bool is_known = target != this->targets.end();
  const auto* last =
      is_known ? &target->second->entry : this->removed.Find(entry.id);
  if (last == nullptr) return std::nullopt;
  const bool is_removed = !is_known || this->expired.count(entry.id) != 0;
  if (this->is_restoring && is_removed && entry.started == last->started) {
    return OutdatedReason::kRemoved;
  }
  return FindOutdatedReason(entry, *last);
}

auto BackendDirectory::Hold(const BackendEntry& entry, OutdatedReason reason)
    -> void {
  const auto held_until = this->clock.Now() + kOutdatedEntryHold;
  const auto held = this->held.try_emplace(entry.id, HeldEntry{{}, held_until});
  held.first->second.entry = entry;
  std::vector<LogField> fields = {{"server", entry.id.Value()},
                                  {"reason", ToString(reason)},
                                  {"started_ms", entry.started.count()},
                                  {"is_used", false}};
  if (entry.sequence) fields.emplace_back("sequence", *entry.sequence);
  Log(events::kBackendOutdated, fields);
}

auto BackendDirectory::Use(const BackendEntry& entry) -> void {
  this->expired.erase(entry.id);
  this->held.erase(entry.id);
  this->removed.Erase(entry.id);
  auto& target = this->targets[entry.id];
  const bool is_new_instance = target == nullptr ||
                               target->entry.started != entry.started ||
                               target->entry.address != entry.address ||
                               target->entry.port != entry.port ||
                               target->entry.service != entry.service;
  if (is_new_instance) {
    auto& typical = this->typical_latencies[entry.service];
    if (typical == nullptr) {
      typical = std::make_shared<TypicalLatency>(kInitialLatency);
    }
    target = std::make_shared<BackendTarget>(BackendTarget{
        entry, BackendLoad(entry.slots, typical, this->clock.Now()), {}, {}});
    target->load.SetGatewayCount(this->gateways);
  } else {
    target->entry = entry;
  }
  this->Rebuild();
}

auto BackendDirectory::Remove(const ServerId& id) -> void {
  this->held.erase(id);
  this->set_aside.erase(id);
  const auto kept_until = this->GracePeriodEnd();
  const auto kept_for = kept_until - this->clock.Now();
  if (kept_for > Duration(0)) {
    this->expired[id] = kept_until;
    Log(events::kBackendKept,
        {{"server", id.Value()}, {"kept_ms", Milliseconds(kept_for)}});
    return;
  }
  this->expired.erase(id);
  this->RemoveTarget(id);
  this->Rebuild();
}

auto BackendDirectory::RemoveTarget(const ServerId& id) -> void {
  const auto target = this->targets.find(id);
  if (target == this->targets.end()) return;
  this->removed.Add(target->second->entry);
  this->targets.erase(target);
}

auto BackendDirectory::OnStoreRecovered(TimePoint unreachable_at) -> void {
  this->outage_grace_end = std::min(this->clock.Now() + kEntryGracePeriod,
                                    unreachable_at + kMaxGraceAfterUnreachable);
}

auto BackendDirectory::OnStoreUpSince(TimePoint since) -> void {
  this->outage_grace_end =
      std::min(this->outage_grace_end, since + kEntryGracePeriod);
  for (auto& [id, kept_until] : this->expired) {
    kept_until = std::min(kept_until, this->GracePeriodEnd());
  }
}

auto BackendDirectory::OnRollback() -> void {
  this->is_restoring = true;
  this->restore_grace_end = this->clock.Now() + kEntryGracePeriod;
  for (auto& [id, kept_until] : this->expired) {
    kept_until = this->restore_grace_end;
  }
}

auto BackendDirectory::SetGateways(int gateways) -> void {
  if (gateways == this->gateways) return;
  this->gateways = gateways;
  for (const auto& [id, target] : this->targets) {
    target->load.SetGatewayCount(gateways);
  }
}

auto BackendDirectory::ApplyTimeouts() -> void {
  const auto now = this->clock.Now();
  this->RemoveExpired(now);
  this->UseHeldEntries(now);
  this->ForgetLeavingProcesses(now);
}

auto BackendDirectory::RemoveExpired(TimePoint now) -> void {
  bool has_changed = false;
  for (auto it = this->expired.begin(); it != this->expired.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    this->RemoveTarget(it->first);
    it = this->expired.erase(it);
    has_changed = true;
  }
  if (has_changed) this->Rebuild();
}

auto BackendDirectory::UseHeldEntries(TimePoint now) -> void {
  std::vector<BackendEntry> due;
  for (const auto& [id, held] : this->held) {
    if (now >= held.held_until) due.push_back(held.entry);
  }
  for (const auto& entry : due) {
    Log(events::kBackendOutdated,
        {{"server", entry.id.Value()}, {"is_used", true}});
    this->Use(this->WithLeaving(entry));
  }
}

auto BackendDirectory::Ready(const ServiceName& service) const
    -> const std::vector<BackendTargetPtr>& {
  static const std::vector<BackendTargetPtr> kNone;
  const auto it = this->ready.find(service);
  return it == this->ready.end() ? kNone : it->second;
}

auto BackendDirectory::Find(const ServerId& id) const -> BackendTargetPtr {
  const auto it = this->targets.find(id);
  return it == this->targets.end() ? nullptr : it->second;
}

auto BackendDirectory::Rebuild() -> void {
  this->ready.clear();
  for (const auto& [id, target] : this->targets) {
    if (target->entry.is_draining) continue;
    this->ready[target->entry.service].push_back(target);
  }
  for (auto& [service, servers] : this->ready) {
    std::sort(servers.begin(), servers.end(),
              [](const BackendTargetPtr& a, const BackendTargetPtr& b) {
                return a->entry.id < b->entry.id;
              });
  }
}

}  // namespace currantbeam
