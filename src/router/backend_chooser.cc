#include "router/backend_chooser.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// Servers with room that are compared for one request.
constexpr int kMostNear = 12;
constexpr int kMostFar = 4;
/// Servers that are looked at, however few are near, unless none has room.
constexpr std::size_t kMostLooked = 128;
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
  BackendTargetPtr best;
  double best_cost = 0;
  int near = 0;
  int far = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (best != nullptr && i >= kMostLooked) break;
    const auto& target = servers[(start + i) % servers.size()];
    const bool is_near = target->entry.domain == this->domain;
    int& compared = is_near ? near : far;
    if (compared >= (is_near ? kMostNear : kMostFar)) continue;
    const bool was_tried =
        std::find(tried.begin(), tried.end(), target->entry.id) != tried.end();
    if (was_tried || target->load.IsEjected(now)) continue;
    if (!target->load.HasRoom()) continue;
    ++compared;
    const auto cost = this->Cost(*target, kind, now);
    if (best != nullptr && cost >= best_cost) continue;
    best = target;
    best_cost = cost;
    if (near >= kMostNear && far >= kMostFar) break;
  }
  return best;
}

}  // namespace currantbeam
