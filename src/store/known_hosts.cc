#include "store/known_hosts.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr std::size_t kMaxHosts = 64;
/// How long a host counts as failing that was asked without success.
constexpr Duration kFailureRetention = std::chrono::seconds(5);

}  // namespace

auto KnownHosts::Add(const std::string& endpoint) -> void {
  if (endpoint.empty() || endpoint == this->own_endpoint) return;
  this->hosts[endpoint].named_at = this->clock.Now();
  if (this->hosts.size() > kMaxHosts) this->DropOldest();
}

auto KnownHosts::OnAsked(const std::string& endpoint) -> void {
  const auto it = this->hosts.find(endpoint);
  if (it != this->hosts.end()) it->second.asked_at = this->clock.Now();
}

auto KnownHosts::OnSuccess(const std::string& endpoint) -> void {
  const auto it = this->hosts.find(endpoint);
  if (it != this->hosts.end()) it->second.asked_at = TimePoint{};
}

auto KnownHosts::Choose(std::size_t count) -> std::vector<std::string> {
  const auto now = this->clock.Now();
  std::vector<std::string> chosen;
  std::vector<std::string> failed;
  for (const auto& [endpoint, host] : this->hosts) {
    const bool has_failed =
        host.asked_at != TimePoint{} && now - host.asked_at < kFailureRetention;
    (has_failed ? failed : chosen).push_back(endpoint);
  }
  std::shuffle(chosen.begin(), chosen.end(), this->random);
  std::shuffle(failed.begin(), failed.end(), this->random);
  chosen.insert(chosen.end(), failed.begin(), failed.end());
  if (chosen.size() > count) chosen.resize(count);
  return chosen;
}

auto KnownHosts::DropOldest() -> void {
  this->hosts.erase(std::min_element(
      this->hosts.begin(), this->hosts.end(), [](const auto& a, const auto& b) {
        return a.second.named_at < b.second.named_at;
      }));
}

}  // namespace currantbeam
