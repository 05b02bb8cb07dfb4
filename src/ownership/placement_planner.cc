#include "ownership/placement_planner.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace currantbeam {
namespace {

/// Every slot has this share of the mean slot load as weight, added to its own
/// load, so that idle slots are spread over the servers too.
constexpr double kIdleWeightShare = 0.2;

auto RendezvousWeight(SlotIndex slot, const ServerId& server) -> std::uint64_t {
  return XXH3_64bits_withSeed(server.Value().data(), server.Value().size(),
                              slot);
}

}  // namespace

PlacementPlanner::PlacementPlanner(std::vector<ServerCapacity> servers,
                                   std::map<SlotIndex, double> loads,
                                   const Options& options)
    : servers(std::move(servers)), loads(std::move(loads)), options(options) {
  double total = 0;
  for (const auto& [slot, load] : this->loads) total += load;
  if (total > 0) {
    this->base_weight =
        kIdleWeightShare * total / static_cast<double>(this->loads.size());
  }
}

auto PlacementPlanner::Weight(SlotIndex slot) const -> double {
  const auto found = this->loads.find(slot);
  return this->base_weight + (found == this->loads.end() ? 0 : found->second);
}

auto PlacementPlanner::RelativeLoad(const ServerCapacity& server) const
    -> double {
  const auto found = this->assigned.find(server.id);
  const auto load = found == this->assigned.end() ? 0 : found->second;
  return load / std::max(server.capacity, 0.01);
}

auto PlacementPlanner::SetOwners(const Segment& segment) -> void {
  for (const auto& [index, slot] : segment.slots) {
    if (!slot.owner.IsEmpty()) {
      this->assigned[slot.owner] += this->Weight(index);
    }
  }
}

auto PlacementPlanner::Place(SlotIndex slot) -> ServerId {
  const ServerCapacity* best = nullptr;
  for (const auto& server : this->servers) {
    if (best == nullptr ||
        this->RelativeLoad(server) < this->RelativeLoad(*best)) {
      best = &server;
    }
  }
  if (best == nullptr) return {};
  this->assigned[best->id] += this->Weight(slot);
  return best->id;
}

auto PlacementPlanner::Successor(SlotIndex slot, const ServerId& owner) const
    -> ServerId {
  ServerId best;
  std::uint64_t best_weight = 0;
  for (const auto& server : this->servers) {
    if (server.id == owner) continue;
    const auto weight = RendezvousWeight(slot, server.id);
    if (best.IsEmpty() || weight > best_weight) {
      best = server.id;
      best_weight = weight;
    }
  }
  return best;
}

auto PlacementPlanner::Rebalance(const Segment& segment)
    -> std::vector<SlotMove> {
  std::vector<SlotMove> moves;
  if (this->servers.size() < 2) return moves;
  std::map<ServerId, std::vector<SlotIndex>> owned;
  for (const auto& [index, slot] : segment.slots) {
    if (!slot.moving) owned[slot.owner].push_back(index);
  }
  const auto by_load = [this](const ServerCapacity& a,
                              const ServerCapacity& b) {
    return this->RelativeLoad(a) < this->RelativeLoad(b);
  };
  while (moves.size() < this->options.max_moves) {
    double load = 0;
    double capacity = 0;
    for (const auto& server : this->servers) {
      load += this->assigned[server.id];
      capacity += server.capacity;
    }
    const auto mean = load / std::max(capacity, 0.01);
    const auto [least, most] = std::minmax_element(
        this->servers.begin(), this->servers.end(), by_load);
    const auto high = this->RelativeLoad(*most);
    const auto low = this->RelativeLoad(*least);
    const bool is_balanced = high <= mean * this->options.max_imbalance_ratio &&
                             low * this->options.max_imbalance_ratio >= mean;
    if (is_balanced) break;
    // Pick the slot whose move reduces the difference of the two most.
    const auto gap = high - low;
    const SlotIndex* best = nullptr;
    double best_gain = 0;
    for (const auto& slot : owned[most->id]) {
      const auto weight = this->Weight(slot);
      const auto after = std::abs((high - weight / most->capacity) -
                                  (low + weight / least->capacity));
      const auto gain = gap - after;
      if (gain > best_gain * 1.0001 && after < gap) {
        best = &slot;
        best_gain = gain;
      }
    }
    if (best == nullptr) break;
    const SlotMove move{*best, most->id, least->id};
    const auto weight = this->Weight(move.slot);
    this->assigned[move.from] -= weight;
    this->assigned[move.to] += weight;
    auto& slots = owned[move.from];
    slots.erase(std::find(slots.begin(), slots.end(), move.slot));
    moves.push_back(move);
  }
  return moves;
}

}  // namespace currantbeam
