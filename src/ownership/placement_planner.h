#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/core.h"
#include "ownership/segment.h"

namespace currantbeam {

/// A server that may own slots, with what it can do.
struct ServerCapacity {
  ServerId id;
  double capacity = 1;  ///< Work it can do at a time, in slots.
};

/// A planned change of owner.
struct SlotMove {
  SlotIndex slot = 0;
  ServerId from;
  ServerId to;
};

/// Decides who is to own slots: spreads load by capacity and moves no more
/// than the change of membership, or a clear imbalance, calls for.
class PlacementPlanner {
 public:
  /// Bounds on one rebalancing step.
  struct Options {
    double tolerated_ratio = 1.15;  ///< Highest to mean load left alone.
    std::size_t move_budget = 8;    ///< Moves at a time.
  };

  /// @param servers  servers that may take slots.
  /// @param loads    load of each slot, any unit; a missing slot has none.
  PlacementPlanner(std::vector<ServerCapacity> servers,
                   std::map<SlotIndex, double> loads, const Options& options);

  /// Counts the slots that servers have now.
  auto SetOwners(const Segment& segment) -> void;
  /// Picks the relatively least loaded server and counts the slot to it.
  /// @return the server, or an empty id if there is none.
  auto Place(SlotIndex slot) -> ServerId;
  /// Picks a successor other than the owner, spread over the servers.
  [[nodiscard]] auto Successor(SlotIndex slot, const ServerId& owner) const
      -> ServerId;
  /// @return moves, most useful first, from the most to the least loaded.
  auto Rebalance(const Segment& segment) -> std::vector<SlotMove>;

 private:
  [[nodiscard]] auto Weight(SlotIndex slot) const -> double;
  [[nodiscard]] auto Relative(const ServerCapacity& server) const -> double;

  std::vector<ServerCapacity> servers;
  std::map<SlotIndex, double> loads;
  Options options;
  double base_weight = 1;  ///< Counted for every slot, loaded or not.
  std::map<ServerId, double> assigned;
};

}  // namespace currantbeam
