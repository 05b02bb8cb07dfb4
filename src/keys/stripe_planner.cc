#include "keys/stripe_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace currantbeam {
namespace {

/// Stripes move once a server's load differs from its quota by more than this
/// fraction of the quota.
constexpr double kMaxImbalance = 0.35;
/// Step between the stripes that are considered in turn, which spreads moves
/// over the whole key range. Coprime to the number of stripes, so that each
/// stripe is considered once.
constexpr int kStripeStride = 1237;
/// A stripe is hot if its load is above this fraction of its server's quota.
constexpr double kMinHotQuotaFraction = 0.5;
/// A hot stripe moves only to a server whose quota is more than this many times
/// the quota of its owner.
constexpr double kMinQuotaRatio = 1.3;

/// The load of each server, compared with its quota: the load that its weight
/// entitles it to. Loads are in the unit of PlacementState::loads.
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

  /// @return the index of the stripe's server; -1 if it is unassigned.
  [[nodiscard]] auto OwnerOf(int stripe) const -> int {
    return this->owners[stripe];
  }
  [[nodiscard]] auto LoadOf(int stripe) const -> double {
    return this->loads[stripe];
  }
  /// @return the server's load, with the extra load, as a fraction of its
  ///   quota.
  [[nodiscard]] auto Utilisation(int server, double extra_load) const
      -> double {
    return (this->server_loads[server] + extra_load) / this->quotas[server];
  }
  [[nodiscard]] auto QuotaOf(int server) const -> double {
    return this->quotas[server];
  }
  /// @return the server with the lowest utilisation after it receives the
  ///   stripe. Owners of an adjacent stripe are avoided where possible.
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
      if (std::abs(this->Utilisation(i, 0) - 1) > kMaxImbalance) return true;
    }
    return false;
  }
  auto Move(int stripe, int to) -> void {
    const int from = this->owners[stripe];
    if (from >= 0) this->server_loads[from] -= this->loads[stripe];
    this->owners[stripe] = to;
    this->server_loads[to] += this->loads[stripe];
  }
  /// @return whether the stripe is hot and another server has a much higher
  ///   quota.
  /// @pre the stripe has an owner.
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
  std::vector<int> owners;           ///< By stripe; -1 if unassigned.
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
  ServerLoads balance(state);
  for (int stripe = 0; stripe < state.map.StripeCount(); ++stripe) {
    if (!state.unassigned[stripe]) continue;
    const auto to = balance.LeastUtilised(stripe);
    balance.Move(stripe, to);
    moves.push_back({stripe, state.servers[to].owner});
  }
  return moves;
}

auto StripePlanner::StripesToMove(const PlacementState& state, int max_moves)
    -> std::vector<int> {
  std::vector<int> moving;
  if (state.servers.empty()) return moving;
  ServerLoads balance(state);
  if (!balance.IsImbalanced()) return moving;
  const int count = state.map.StripeCount();
  const auto move_stripe = [&](int stripe, int to) {
    balance.Move(stripe, to);
    moving.push_back(stripe);
  };
  for (int stripe = 0; stripe < count; ++stripe) {
    if (balance.OwnerOf(stripe) < 0 || !balance.IsMisplaced(stripe)) continue;
    move_stripe(stripe, balance.LeastUtilised(stripe));
  }
  for (int i = 0; i < count; ++i) {
    if (static_cast<int>(moving.size()) >= max_moves) break;
    const int stripe = (i * kStripeStride) % count;
    const int owner = balance.OwnerOf(stripe);
    if (owner < 0 || balance.Utilisation(owner, 0) <= 1) continue;
    const int to = balance.LeastUtilised(stripe);
    // A move pays only if the new server stays within its quota and below the
    // utilisation of the old one.
    const double load = balance.LoadOf(stripe);
    const bool is_better =
        balance.Utilisation(to, load) < balance.Utilisation(owner, 0) &&
        balance.Utilisation(to, load) <= 1;
    if (to != owner && is_better) move_stripe(stripe, to);
  }
  return moving;
}

}  // namespace currantbeam
