#include "keys/stripe_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <unordered_map>

namespace currantbeam {
namespace {

/// Stripes move once a server is this far above its part.
constexpr double kTolerance = 0.35;
/// Walks the stripes in an order that spreads moves over the whole range; has
/// no factor in common with the number of stripes.
constexpr int kWalkStep = 1237;
/// Part of a server's quota from which a stripe counts as its load by itself.
constexpr double kHotPart = 0.5;
/// How much more weight a server needs to get such a stripe from another.
constexpr double kBetterWeight = 1.3;

/// The load of each server, and how much it should have.
class Shares {
 public:
  explicit Shares(const PlacementState& state) : used(state.servers.size(), 0) {
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
    const auto places = PlacesOf(state.map.Owners(), state.servers);
    this->owners.reserve(count);
    for (int stripe = 0; stripe < count; ++stripe) {
      const int owner = state.map.OwnerIndexOf(stripe);
      const bool is_held = owner >= 0 && !state.vacant[stripe];
      this->owners.push_back(is_held ? places[owner] : -1);
      if (this->owners.back() < 0) continue;
      this->used[this->owners.back()] += this->loads[stripe];
    }
  }

  [[nodiscard]] auto OwnerOf(int stripe) const -> int {
    return this->owners[stripe];
  }
  [[nodiscard]] auto LoadOf(int stripe) const -> double {
    return this->loads[stripe];
  }
  [[nodiscard]] auto Fill(int server, double more) const -> double {
    return (this->used[server] + more) / this->quotas[server];
  }
  [[nodiscard]] auto QuotaOf(int server) const -> double {
    return this->quotas[server];
  }
  /// @return the server that the stripe would fill least, counted in parts,
  ///   leaving out the owners of the neighbouring stripes where it can.
  [[nodiscard]] auto MostInNeed(int stripe) const -> int {
    int best = -1;
    double best_fill = 0;
    for (int i = 0; i < static_cast<int>(this->used.size()); ++i) {
      double fill = this->Fill(i, this->loads[stripe]);
      if (this->IsNeighbour(stripe, i)) fill += 1;
      if (best >= 0 && fill >= best_fill) continue;
      best = i;
      best_fill = fill;
    }
    return best;
  }
  [[nodiscard]] auto IsUneven() const -> bool {
    for (int i = 0; i < static_cast<int>(this->used.size()); ++i) {
      if (std::abs(this->Fill(i, 0) - 1) > kTolerance) return true;
    }
    return false;
  }
  auto Move(int stripe, int to) -> void {
    const int from = this->owners[stripe];
    if (from >= 0) this->used[from] -= this->loads[stripe];
    this->owners[stripe] = to;
    this->used[to] += this->loads[stripe];
  }
  /// @return whether the stripe is most of what its server should have, and
  ///   another could do it much faster.
  [[nodiscard]] auto IsMisplaced(int stripe) const -> bool {
    const int owner = this->owners[stripe];
    const bool is_hot = this->loads[stripe] > kHotPart * this->quotas[owner];
    if (!is_hot) return false;
    const int to = this->MostInNeed(stripe);
    return this->quotas[to] > kBetterWeight * this->quotas[owner];
  }

 private:
  [[nodiscard]] auto IsNeighbour(int stripe, int server) const -> bool {
    const auto count = static_cast<int>(this->owners.size());
    const bool before = stripe > 0 && this->owners[stripe - 1] == server;
    const bool after = stripe + 1 < count && this->owners[stripe + 1] == server;
    return this->used.size() > 2 && (before || after);
  }

  std::vector<double> loads;   ///< By stripe.
  std::vector<double> quotas;  ///< By server.
  std::vector<double> used;    ///< By server.
  std::vector<int> owners;     ///< By stripe; -1 if it is to be dealt.
};

}  // namespace

auto PlacesOf(const std::vector<KeyOwner>& owners,
              const std::vector<EligibleServer>& servers) -> std::vector<int> {
  std::unordered_map<std::string_view, int> places;
  places.reserve(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    places.emplace(servers[i].owner.id.Value(), static_cast<int>(i));
  }
  std::vector<int> found;
  found.reserve(owners.size());
  for (const auto& owner : owners) {
    const auto it = places.find(owner.id.Value());
    const bool is_same =
        it != places.end() && servers[it->second].owner == owner;
    found.push_back(is_same ? it->second : -1);
  }
  return found;
}

auto StripePlanner::Deal(const PlacementState& state)
    -> std::vector<StripeMove> {
  std::vector<StripeMove> moves;
  const bool has_vacant = std::find(state.vacant.begin(), state.vacant.end(),
                                    true) != state.vacant.end();
  if (state.servers.empty() || !has_vacant) return moves;
  Shares shares(state);
  for (int stripe = 0; stripe < state.map.StripeCount(); ++stripe) {
    if (!state.vacant[stripe]) continue;
    const auto to = shares.MostInNeed(stripe);
    shares.Move(stripe, to);
    moves.push_back({stripe, state.servers[to].owner});
  }
  return moves;
}

auto StripePlanner::Even(const PlacementState& state, int most)
    -> std::vector<int> {
  std::vector<int> leaving;
  if (state.servers.empty()) return leaving;
  Shares shares(state);
  if (!shares.IsUneven()) return leaving;
  const int count = state.map.StripeCount();
  const auto leave = [&](int stripe, int to) {
    shares.Move(stripe, to);
    leaving.push_back(stripe);
  };
  for (int stripe = 0; stripe < count; ++stripe) {
    if (shares.OwnerOf(stripe) < 0 || !shares.IsMisplaced(stripe)) continue;
    leave(stripe, shares.MostInNeed(stripe));
  }
  for (int i = 0; i < count; ++i) {
    if (static_cast<int>(leaving.size()) >= most) break;
    const int stripe = (i * kWalkStep) % count;
    const int owner = shares.OwnerOf(stripe);
    if (owner < 0 || shares.Fill(owner, 0) <= 1) continue;
    const int to = shares.MostInNeed(stripe);
    // Not worth a move unless the other stays well below.
    const double load = shares.LoadOf(stripe);
    const bool is_better = shares.Fill(to, load) < shares.Fill(owner, 0) &&
                           shares.Fill(to, load) <= 1;
    if (to != owner && is_better) leave(stripe, to);
  }
  return leaving;
}

}  // namespace currantbeam
