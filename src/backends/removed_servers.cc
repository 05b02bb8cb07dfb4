#include "backends/removed_servers.h"

#include <algorithm>
#include <cstddef>

namespace currantbeam {
namespace {

/// Longer than the age of a copy from which the store is restored.
constexpr auto kRetention = std::chrono::seconds(60);
constexpr std::size_t kMaxServers = 4096;

}  // namespace

auto RemovedServers::Add(const BackendEntry& entry) -> void {
  this->DropExpired();
  if (this->servers.size() >= kMaxServers) this->DropOldest();
  this->servers[entry.id] = {entry, this->clock.Now() + kRetention};
}

auto RemovedServers::Find(const ServerId& id) const -> const BackendEntry* {
  const auto it = this->servers.find(id);
  if (it == this->servers.end()) return nullptr;
  return this->clock.Now() < it->second.kept_until ? &it->second.entry
                                                   : nullptr;
}

auto RemovedServers::DropExpired() -> void {
  const auto now = this->clock.Now();
  for (auto it = this->servers.begin(); it != this->servers.end();) {
    it = now < it->second.kept_until ? std::next(it) : this->servers.erase(it);
  }
}

auto RemovedServers::DropOldest() -> void {
  this->servers.erase(
      std::min_element(this->servers.begin(), this->servers.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.kept_until < b.second.kept_until;
                       }));
}

}  // namespace currantbeam
