#include "router/owner_directory.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
auto OwnerDirectory::Find(const ServiceName& service, int key) const
    -> const KeyOwner* {
  if (key < 0 || key >= kKeyCount) return nullptr;
  const auto it = this->services.find(service);
  return it == this->services.end() ? nullptr : it->second.map.OwnerOfKey(key);
}

auto OwnerDirectory::StripeOf(const ServiceName& service, int key) const
    -> std::optional<int> {
  const auto it = this->services.find(service);
  if (it == this->services.end()) return std::nullopt;
  return it->second.map.StripeOfKey(key);
}

auto OwnerDirectory::Versions() const -> OwnerVersions {
  OwnerVersions versions;
  for (const auto& [service, known] : this->services) {
    versions.emplace(service, known.version);
  }
  return versions;
}

auto OwnerDirectory::OnRow(const StoreRow& row) -> void {
  auto& known = this->services[ServiceName(row.name.key)];
  if (row.version <= known.version) return;
  try {
    known.map = OwnerMap::Decode(row.value);
    known.version = row.version;
    this->read_interval = kMinReadInterval;
  } catch (const InputError& error) {
    Log(events::kOwnersUnread,
        {{"service", row.name.key}, {"error", error.what()}});
  }
}

auto OwnerDirectory::OnUpdate(const OwnerUpdate& update) -> void {
  auto& known = this->services[update.service];
  if (update.version <= known.version) return;
  if (update.base != known.version || known.version == 0) {
    this->RequestRead();
    return;
  }
  for (const auto& change : update.changes) {
    if (change.stripe < 0 || change.stripe >= known.map.StripeCount()) continue;
    known.map.Assign(change.stripe, change.owner, change.token);
  }
  known.version = update.version;
  this->read_interval = kMinReadInterval;
}

auto OwnerDirectory::OnKeeperVersion(const ServiceName& service,
                                     StoreVersion version) -> void {
  if (this->services[service].version >= version) return;
  this->read_interval = kMinReadInterval;
  this->RequestRead();
}

auto OwnerDirectory::StartReadIfDue() -> bool {
  const auto now = this->clock.Now();
  if (!this->is_read_requested ||
      now - this->last_read_at < this->read_interval) {
    return false;
  }
  this->is_read_requested = false;
  this->last_read_at = now;
  this->read_interval = std::min(2 * this->read_interval, kMaxReadInterval);
  return true;
}

}  // namespace currantbeam
