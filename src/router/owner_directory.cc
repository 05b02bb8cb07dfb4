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
  for (const auto& [service, entry] : this->services) {
    versions.emplace(service, entry.version);
  }
  return versions;
}

auto OwnerDirectory::OnRow(const StoreRow& row) -> void {
  auto& entry = this->services[ServiceName(row.name.key)];
  if (row.version <= entry.version) return;
  try {
    auto map = OwnerMap::Decode(row.value);
    // After a rollback of the store, the row may be older than the map here.
    if (map.LastToken() < entry.map.LastToken()) return;
    entry.map = std::move(map);
    entry.version = row.version;
    this->read_interval = kMinReadInterval;
  } catch (const InputError& error) {
    Log(events::kOwnersUnread,
        {{"service", row.name.key}, {"error", error.what()}});
  }
}

auto OwnerDirectory::OnUpdate(const OwnerUpdate& update) -> void {
  auto& entry = this->services[update.service];
  if (update.version <= entry.version) return;
  if (update.base_version != entry.version || entry.version.number == 0) {
    this->RequestRead();
    return;
  }
  for (const auto& change : update.changes) {
    if (change.stripe < 0 || change.stripe >= entry.map.StripeCount()) continue;
    entry.map.Assign(change.stripe, change.owner, change.token);
  }
  entry.version = update.version;
  this->read_interval = kMinReadInterval;
}

auto OwnerDirectory::OnCoordinatorVersion(const ServiceName& service,
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
