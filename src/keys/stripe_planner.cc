#include "keys/stripe_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace currantbeam {
namespace {

/// Stripes move once a server is this far above its part.
constexpr double kImbalanceTolerance = 0.35;
/// Walks the stripes in an order that spreads moves over the whole range; has
/// no factor in common with the number of stripes.
constexpr int kStripeStride = 1237;
/// Part of a server's quota from which a stripe counts as its load by itself.
constexpr double kMinHotQuotaFraction = 0.5;
/// How much more weight a server needs to get such a stripe from another.
constexpr double kMinQuotaRatio = 1.3;

/// The load of each server, and how much it should have.
class ServerLoads {
 public:
  explicit ServerLoads(const PlacementState& state)
      : server_loads(state.servers.size(), 0) {
    const auto count = state.map.StripeCount();
    this->loads = state.loads;
    if (this->loads.empty()) this->loads.assign(count, 1);
    const double total =
        std::accumulate(this->loads.begin(), this->loads.end(), 0.0);
    double sum = 0;
    for (const auto& server : state.servers) sum += server.weight;
    for (const auto& server : state.servers) {
      this->quotas.push_back(total * server.weight / sum);
    }
    const auto indexes = IndexesOf(state.map.Owners(), state.servers);
    this->owners.reserve(count);
    for (int stripe = 0; stripe < count; ++stripe) {
      const int owner = state.map.OwnerIndexOf(stripe);
      const bool is_assigned = owner >= 0 && !state.unassigned[stripe];
      this->owners.push_back(is_assigned ? indexes[owner] : -1);
      if (this->owners.back() < 0) continue;
      this->server_loads[this->owners.back()] += this->loads[stripe];
    }
  }

  [[nodiscard]] auto OwnerOf(int stripe) const -> int {
    return this->owners[stripe];
  }
  [[nodiscard]] auto LoadOf(int stripe) const -> double {
    return this->loads[stripe];
  }
  [[nodiscard]] auto Utilisation(int server, double extra_load) const
      -> double {
    return (this->server_loads[server] + extra_load) / this->quotas[server];
  }
  [[nodiscard]] auto QuotaOf(int server) const -> double {
    return this->quotas[server];
  }
  /// @return the server that the stripe would fill least, counted in parts,
  ///   leaving out the owners of the neighbouring stripes where it can.
  [[nodiscard]] auto LeastUtilised(int stripe) const -> int {
    int best = -1;
    double best_utilisation = 0;
    for (int i = 0; i < static_cast<int>(this->server_loads.size()); ++i) {
      double utilisation = this->Utilisation(i, this->loads[stripe]);
      if (this->OwnsAdjacentStripe(stripe, i)) utilisation += 1;
      if (best >= 0 && utilisation >= best_utilisation) continue;
      best = i;
      best_utilisation = utilisation;
    }
    return best;
  }
  [[nodiscard]] auto IsImbalanced() const -> bool {
    for (int i = 0; i < static_cast<int>(this->server_loads.size()); ++i) {
      if (std::abs(this->Utilisation(i, 0) - 1) > kImbalanceTolerance)
        return true;
    }
    return false;
  }
  auto Move(int stripe, int to) -> void {
    const int from = this->owners[stripe];
    if (from >= 0) this->server_loads[from] -= this->loads[stripe];
    this->owners[stripe] = to;
    this->server_loads[to] += this->loads[stripe];
  }
  /// @return whether the stripe is most of what its server should have, and
  ///   another could do it much faster.
  [[nodiscard]] auto IsMisplaced(int stripe) const -> bool {
    const int owner = this->owners[stripe];
    const bool is_hot =
        this->loads[stripe] > kMinHotQuotaFraction * this->quotas[owner];
    if (!is_hot) return false;
    const int to = this->LeastUtilised(stripe);
    return this->quotas[to] > kMinQuotaRatio * this->quotas[owner];
  }

 private:
  [[nodiscard]] auto OwnsAdjacentStripe(int stripe, int server) const -> bool {
    const auto count = static_cast<int>(this->owners.size());
    const bool before = stripe > 0 && this->owners[stripe - 1] == server;
    const bool after = stripe + 1 < count && this->owners[stripe + 1] == server;
    return this->server_loads.size() > 2 && (before || after);
  }

  std::vector<double> loads;         ///< By stripe.
  std::vector<double> quotas;        ///< By server.
  std::vector<double> server_loads;  ///< By server.
  std::vector<int> owners;           ///< By stripe; -1 if it is to be dealt.
};

}  // namespace

auto IndexesOf(const std::vector<KeyOwner>& owners,
               const std::vector<EligibleServer>& servers) -> std::vector<int> {
  std::unordered_map<std::string_view, int> indexes;
  indexes.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    indexes.emplace(servers[i].owner.id.Value(), static_cast<int>(i));
  }
  std::vector<int> result;
  result.reserve(owners.size());
  for (const auto& owner : owners) {
    const auto it = indexes.find(owner.id.Value());
    const bool is_same =
        it != indexes.end() && servers[it->second].owner == owner;
    result.push_back(is_same ? it->second : -1);
  }
  return result;
}

auto StripePlanner::AssignStripes(const PlacementState& state)
    -> std::vector<StripeMove> {
  std::vector<StripeMove> moves;
  const bool has_unassigned =
      std::find(state.unassigned.begin(), state.unassigned.end(), true) !=
      state.unassigned.end();
  if (state.servers.empty() || !has_unassigned) return moves;
  ServerLoads loads_by_server(state);
  for (int stripe = 0; stripe < state.map.StripeCount(); ++stripe) {
    if (!state.unassigned[stripe]) continue;
    const auto to = loads_by_server.LeastUtilised(stripe);
    loads_by_server.Move(stripe, to);
    moves.push_back({stripe, state.servers[to].owner});
  }
  return moves;
}

auto StripePlanner::StripesToMove(const PlacementState& state, int max_moves)
    -> std::vector<int> {
  std::vector<int> moving;
  if (state.servers.empty()) return moving;
  ServerLoads loads_by_server(state);
  if (!loads_by_server.IsImbalanced()) return moving;
  const int count = state.map.StripeCount();
  const auto move_stripe = [&](int stripe, int to) {
    loads_by_server.Move(stripe, to);
    moving.push_back(stripe);
  };
  for (int stripe = 0; stripe < count; ++stripe) {
    if (loads_by_server.OwnerOf(stripe) < 0 ||
        !loads_by_server.IsMisplaced(stripe))
      continue;
    move_stripe(stripe, loads_by_server.LeastUtilised(stripe));
  }
  for (int i = 0; i < count; ++i) {
    if (static_cast<int>(moving.size()) >= max_moves) break;
    const int stripe = (i * kStripeStride) % count;
    const int owner = loads_by_server.OwnerOf(stripe);
    if (owner < 0 || loads_by_server.Utilisation(owner, 0) <= 1) continue;
    const int to = loads_by_server.LeastUtilised(stripe);
    // Not worth a move unless the other stays well below.
    const double load = loads_by_server.LoadOf(stripe);
    const bool is_better = loads_by_server.Utilisation(to, load) <
                               loads_by_server.Utilisation(owner, 0) &&
                           loads_by_server.Utilisation(to, load) <= 1;
    if (to != owner && is_better) move_stripe(stripe, to);
  }
  return moving;
}

}  // namespace currantbeam
