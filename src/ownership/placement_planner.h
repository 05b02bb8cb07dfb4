#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/core.h"
#include "ownership/segment.h"

namespace currantbeam {

/// A server that slots may be assigned to, with its capacity.
struct ServerCapacity {
  ServerId id;
  double capacity = 1;  ///< Requests it serves concurrently.
};

/// A planned change of owner.
struct SlotMove {
  SlotIndex slot = 0;
  ServerId from;
  ServerId to;
};

/// Chooses the owners of the slots of one Segment. Spreads the load in
/// proportion to the servers' capacity, and moves slots only if servers join or
/// leave or the load is clearly unbalanced.
class PlacementPlanner {
 public:
  /// Limits of one call of Rebalance().
  struct Options {
    double max_imbalance_ratio = 1.15;  ///< Of a server to the mean.
    std::size_t max_moves = 8;          ///< Moves returned by one call.
  };

  /// @param servers  the servers that slots may be assigned to.
  /// @param loads    load of each slot in any unit; 0 for a missing slot.
  PlacementPlanner(std::vector<ServerCapacity> servers,
                   std::map<SlotIndex, double> loads, const Options& options);

  /// Adds the segment's slots to the load of their current owners.
  auto SetOwners(const Segment& segment) -> void;
  /// Assigns the slot to the server with the lowest load per capacity.
  /// @return the server, or an empty id if there are no servers.
  auto Place(SlotIndex slot) -> ServerId;
  /// @return the server to commit in advance as the slot's next owner, chosen
  /// by rendezvous hashing among the others; empty if there is no other.
  [[nodiscard]] auto Successor(SlotIndex slot, const ServerId& owner) const
      -> ServerId;
  /// @return moves from the most to the least loaded server, those that reduce
  /// the imbalance most first; empty if the load is balanced.
  auto Rebalance(const Segment& segment) -> std::vector<SlotMove>;

 private:
  [[nodiscard]] auto Weight(SlotIndex slot) const -> double;
  [[nodiscard]] auto RelativeLoad(const ServerCapacity& server) const -> double;

  std::vector<ServerCapacity> servers;
  std::map<SlotIndex, double> loads;
  Options options;
  double base_weight = 1;  ///< Added to the load of every slot.
  std::map<ServerId, double> assigned;
};

}  // namespace currantbeam
