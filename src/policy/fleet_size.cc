#include "policy/fleet_size.h"

namespace currantbeam {
namespace {

/// Taken while nothing is known, so that the limits are rather kept too well.
constexpr int kHostsUnknown = 100;
constexpr auto kMemory = std::chrono::seconds(20);

}  // namespace

auto FleetSize::OnTold(int hosts, TimePoint now) -> void {
  while (!this->told.empty() && this->told.back().hosts <= hosts) {
    this->told.pop_back();
  }
  this->told.push_back({hosts, now});
  while (now - this->told.front().at > kMemory) this->told.pop_front();
}

auto FleetSize::Hosts(TimePoint now) const -> int {
  if (this->told.empty()) return kHostsUnknown;
  for (const auto& one : this->told) {
    if (now - one.at <= kMemory) return one.hosts;
  }
  return this->told.back().hosts;
}

}  // namespace currantbeam
