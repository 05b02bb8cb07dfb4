#include "keys/stripe_planner.h"

#include <algorithm>
#include <cmath>

namespace currantbeam {
namespace {

/// Stripes move once a server is this far from its part.
constexpr double kTolerance = 0.06;
/// Walks the stripes in an order that spreads moves over the whole range; has
/// no factor in common with the number of stripes.
constexpr int kWalkStep = 1237;

/// Stripes of each server, and how many it should have.
class Shares {
 public:
  Shares(const OwnerMap& map, const std::vector<bool>& vacant,
         const std::vector<PlannedServer>& servers)
      : servers(servers), counts(servers.size(), 0) {
    double sum = 0;
    for (const auto& server : servers) sum += server.weight;
    for (const auto& server : servers) {
      this->quotas.push_back(map.StripeCount() * server.weight / sum);
    }
    for (int stripe = 0; stripe < map.StripeCount(); ++stripe) {
      const auto* owner = vacant[stripe] ? nullptr : map.OwnerOf(stripe);
      this->owners.push_back(this->Find(owner));
      if (this->owners.back() >= 0) ++this->counts[this->owners.back()];
    }
  }

  [[nodiscard]] auto OwnerOf(int stripe) const -> int {
    return this->owners[stripe];
  }
  /// @return the server that is furthest below its part, counted in parts,
  ///   leaving out the owners of the neighbouring stripes where it can.
  [[nodiscard]] auto MostInNeed(int stripe) const -> int {
    int best = -1;
    double best_fill = 0;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      double fill = (this->counts[i] + 1) / this->quotas[i];
      if (this->IsNeighbour(stripe, static_cast<int>(i))) fill += 1;
      if (best >= 0 && fill >= best_fill) continue;
      best = static_cast<int>(i);
      best_fill = fill;
    }
    return best;
  }
  [[nodiscard]] auto IsUneven() const -> bool {
    for (std::size_t i = 0; i < this->counts.size(); ++i) {
      const auto quota = this->quotas[i];
      if (std::abs(this->counts[i] - quota) > kTolerance * quota + 1) {
        return true;
      }
    }
    return false;
  }
  [[nodiscard]] auto IsOverFull(int server) const -> bool {
    return this->counts[server] > std::ceil(this->quotas[server]);
  }
  [[nodiscard]] auto IsShort(int server) const -> bool {
    return this->counts[server] + 1 <= std::floor(this->quotas[server]);
  }
  auto Move(int stripe, int to) -> void {
    if (this->owners[stripe] >= 0) --this->counts[this->owners[stripe]];
    this->owners[stripe] = to;
    ++this->counts[to];
  }

 private:
  [[nodiscard]] auto Find(const KeyOwner* owner) const -> int {
    if (owner == nullptr) return -1;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->servers[i].owner == *owner) return static_cast<int>(i);
    }
    return -1;
  }
  [[nodiscard]] auto IsNeighbour(int stripe, int server) const -> bool {
    const bool before = stripe > 0 && this->owners[stripe - 1] == server;
    const bool after = stripe + 1 < static_cast<int>(this->owners.size()) &&
                       this->owners[stripe + 1] == server;
    return this->servers.size() > 2 && (before || after);
  }

  const std::vector<PlannedServer>& servers;
  std::vector<double> quotas;
  std::vector<int> counts;
  std::vector<int> owners;
};

}  // namespace

auto StripePlanner::Deal(const OwnerMap& map, const std::vector<bool>& vacant,
                         const std::vector<PlannedServer>& servers)
    -> std::vector<StripeMove> {
  std::vector<StripeMove> moves;
  if (servers.empty()) return moves;
  Shares shares(map, vacant, servers);
  for (int stripe = 0; stripe < map.StripeCount(); ++stripe) {
    if (!vacant[stripe]) continue;
    const auto to = shares.MostInNeed(stripe);
    shares.Move(stripe, to);
    moves.push_back({stripe, servers[to].owner});
  }
  return moves;
}

auto StripePlanner::Even(const OwnerMap& map, const std::vector<bool>& vacant,
                         const std::vector<PlannedServer>& servers, int most)
    -> std::vector<int> {
  std::vector<int> leaving;
  if (servers.empty()) return leaving;
  Shares shares(map, vacant, servers);
  if (!shares.IsUneven()) return leaving;
  for (int i = 0; i < map.StripeCount(); ++i) {
    if (static_cast<int>(leaving.size()) >= most) break;
    const int stripe = (i * kWalkStep) % map.StripeCount();
    const int owner = shares.OwnerOf(stripe);
    if (owner < 0 || !shares.IsOverFull(owner)) continue;
    const int to = shares.MostInNeed(stripe);
    if (to == owner || !shares.IsShort(to)) continue;
    shares.Move(stripe, to);
    leaving.push_back(stripe);
  }
  return leaving;
}

}  // namespace currantbeam
