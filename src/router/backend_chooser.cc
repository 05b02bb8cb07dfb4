#include "router/backend_chooser.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// The number of available servers that are compared for one request, by
/// whether they are in this gateway's failure domain.
constexpr int kMaxNear = 12;
constexpr int kMaxFar = 4;
/// The scan of the servers stops after this many, even if fewer were
/// compared, unless none of them was available.
constexpr std::size_t kMaxScannedServers = 128;
/// The expected latency of a server in another failure domain is multiplied by
/// this.
constexpr double kFarPenalty = 1.3;
constexpr double kFarPenaltyDownload = 3.0;

}  // namespace

auto BackendChooser::Cost(const BackendTarget& target, RequestKind kind,
                          TimePoint now) const -> double {
  const auto latency =
      static_cast<double>(target.load.ExpectedLatency(now).count());
  if (target.entry.domain == this->domain) return latency;
  const bool is_large = kind == RequestKind::kDownload;
  return latency * (is_large ? kFarPenaltyDownload : kFarPenalty);
}

auto BackendChooser::Choose(const std::vector<BackendTargetPtr>& servers,
                            RequestKind kind,
                            const std::vector<ServerId>& tried_servers)
    -> BackendTargetPtr {
  if (servers.empty()) return nullptr;
  const auto now = this->clock.Now();
  const auto start = this->random() % servers.size();
  BackendTargetPtr best;
  double best_cost = 0;
  int near_count = 0;
  int far_count = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (best != nullptr && i >= kMaxScannedServers) break;
    const auto& target = servers[(start + i) % servers.size()];
    const bool is_near = target->entry.domain == this->domain;
    int& compared = is_near ? near_count : far_count;
    if (compared >= (is_near ? kMaxNear : kMaxFar)) continue;
    const bool was_tried = std::find(tried_servers.begin(), tried_servers.end(),
                                     target->entry.id) != tried_servers.end();
    if (was_tried || target->load.IsEjected(now)) continue;
    if (target->load.IsPaused(now) || !target->load.HasCapacity()) continue;
    ++compared;
    const auto cost = this->Cost(*target, kind, now);
    if (best != nullptr && cost >= best_cost) continue;
    best = target;
    best_cost = cost;
    if (near_count >= kMaxNear && far_count >= kMaxFar) break;
  }
  return best;
}

}  // namespace currantbeam
