#include "backends/backend_directory.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// If an entry expired while the store was unreachable, a running server
/// publishes it again within this time.
constexpr auto kEntryGracePeriod = std::chrono::milliseconds(2200);
/// Typical latency of a service before any response.
constexpr auto kInitialLatency = std::chrono::milliseconds(80);

}  // namespace

auto BackendDirectory::Apply(const BackendEntry& entry) -> void {
  this->expired.erase(entry.id);
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
        entry, BackendLoad(entry.slots, typical, this->clock.Now()), {}});
    target->load.SetGatewayCount(this->gateways);
  } else {
    target->entry = entry;
  }
  this->Rebuild();
}

auto BackendDirectory::Remove(const ServerId& id) -> void {
  if (this->clock.Now() < this->grace_period_end) {
    this->expired[id] = this->grace_period_end;
    return;
  }
  this->expired.erase(id);
  this->targets.erase(id);
  this->Rebuild();
}

auto BackendDirectory::OnStoreRecovered() -> void {
  this->grace_period_end = this->clock.Now() + kEntryGracePeriod;
}

auto BackendDirectory::SetGateways(int gateways) -> void {
  if (gateways == this->gateways) return;
  this->gateways = gateways;
  for (const auto& [id, target] : this->targets) {
    target->load.SetGatewayCount(gateways);
  }
}

auto BackendDirectory::RemoveExpired() -> void {
  const auto now = this->clock.Now();
  bool has_changed = false;
  for (auto it = this->expired.begin(); it != this->expired.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    this->targets.erase(it->first);
    it = this->expired.erase(it);
    has_changed = true;
  }
  if (has_changed) this->Rebuild();
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
