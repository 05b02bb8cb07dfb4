#pragma once

#include <vector>

#include "keys/owner_map.h"

namespace currantbeam {

/// A server that may own keys. Its share of the load is proportional to its
/// weight.
struct EligibleServer {
  KeyOwner owner;
  double weight = 1;
};

/// @return for each owner its index among the servers; -1 if it is not one of
///   them or runs as another process since.
auto IndexesOf(const std::vector<KeyOwner>& owners,
               const std::vector<EligibleServer>& servers) -> std::vector<int>;

/// The assignment of a stripe to a new owner.
struct StripeMove {
  int stripe = 0;
  KeyOwner to;
};

/// The input of StripePlanner. Refers to the map and the servers, which must
/// outlive it.
struct PlacementState {
  const OwnerMap& map;
  /// By stripe: whether no server can hold it.
  std::vector<bool> unassigned;
  const std::vector<EligibleServer>& servers;
  /// By stripe: its load, in any unit. Empty if the loads are unknown; then all
  /// stripes count the same.
  std::vector<double> loads;
};

/// Assigns stripes to servers by weight and load. Adjacent stripes go to
/// different servers, so that the load of a hot key range of a few hundred
/// adjacent keys is shared. A stripe that uses most of a server's quota, as one
/// with a single hot key does, moves to a server of much higher weight, and the
/// other stripes leave that server.
class StripePlanner {
 public:
  /// @return an owner for each unassigned stripe; empty if there are no
  ///   servers.
  [[nodiscard]] static auto AssignStripes(const PlacementState& state)
      -> std::vector<StripeMove>;
  /// @return stripes that should leave their servers so that each server's load
  ///   gets closer to its quota; empty if the loads are balanced. Their new
  ///   owners are found by AssignStripes() once they are unassigned.
  /// @param max_moves  limits the number of stripes; hot stripes that move to a
  ///   server of higher weight are returned in any case.
  [[nodiscard]] static auto StripesToMove(const PlacementState& state,
                                          int max_moves) -> std::vector<int>;
};

}  // namespace currantbeam
