#include "router/backend_chooser.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// Servers that are compared for one request.
constexpr std::size_t kMostCompared = 16;
/// How much longer a near server may take to be preferred to a far one.
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
                            const std::vector<ServerId>& tried)
    -> BackendTargetPtr {
  if (servers.empty()) return nullptr;
  const auto now = this->clock.Now();
  const auto start = this->random() % servers.size();
  const auto count = std::min(servers.size(), kMostCompared);
  BackendTargetPtr best;
  double best_cost = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& target = servers[(start + i) % servers.size()];
    const bool was_tried =
        std::find(tried.begin(), tried.end(), target->entry.id) != tried.end();
    if (was_tried || target->load.IsEjected(now)) continue;
    if (!target->load.HasRoom()) continue;
    const auto cost = this->Cost(*target, kind, now);
    if (best != nullptr && cost >= best_cost) continue;
    best = target;
    best_cost = cost;
  }
  return best;
}

}  // namespace currantbeam
