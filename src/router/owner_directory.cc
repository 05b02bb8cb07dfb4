#include "router/owner_directory.h"

#include "core/events.h"

namespace currantbeam {

auto OwnerDirectory::Find(const ServiceName& service, int key) const
    -> const KeyOwner* {
  if (key < 0 || key >= kKeyCount) return nullptr;
  const auto it = this->maps.find(service);
  return it == this->maps.end() ? nullptr : it->second.OwnerOfKey(key);
}

auto OwnerDirectory::StripeOf(const ServiceName& service, int key) const
    -> std::optional<int> {
  const auto it = this->maps.find(service);
  if (it == this->maps.end()) return std::nullopt;
  return it->second.StripeOfKey(key);
}

auto OwnerDirectory::OnRow(const StoreRow& row) -> void {
  try {
    this->maps[ServiceName(row.name.key)] = OwnerMap::Decode(row.value);
  } catch (const InputError& error) {
    Log(events::kOwnersUnread,
        "service=" + row.name.key + " error=\"" + error.what() + "\"");
  }
}

auto OwnerDirectory::OnRemoved(const std::string& key) -> void {
  this->maps.erase(ServiceName(key));
}

auto OwnerDirectory::OnReachable(bool reachable) -> void {
  Log(reachable ? events::kTableBack : events::kTableLost, "table=owners");
}

}  // namespace currantbeam
