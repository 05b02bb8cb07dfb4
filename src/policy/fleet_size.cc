#include "policy/fleet_size.h"

namespace currantbeam {
namespace {

/// Used until a count is received. High, so that the fleet stays below its
/// limits.
constexpr int kDefaultHosts = 100;
constexpr auto kWindow = std::chrono::seconds(20);

}  // namespace

auto FleetSize::Update(int hosts, TimePoint now) -> void {
  while (!this->samples.empty() && this->samples.back().hosts <= hosts) {
    this->samples.pop_back();
  }
  this->samples.push_back({hosts, now});
  while (now - this->samples.front().time > kWindow) this->samples.pop_front();
}

auto FleetSize::Hosts(TimePoint now) const -> int {
  if (this->samples.empty()) return kDefaultHosts;
  for (const auto& sample : this->samples) {
    if (now - sample.time <= kWindow) return sample.hosts;
  }
  return this->samples.back().hosts;
}

}  // namespace currantbeam
