#pragma once

#include <vector>

#include "keys/owner_map.h"

namespace currantbeam {

/// A server that may own keys, and its part of the work.
struct EligibleServer {
  KeyOwner owner;
  double weight = 1;
};

/// @return for each owner of a map, its place among the servers, or -1.
auto IndexesOf(const std::vector<KeyOwner>& owners,
               const std::vector<EligibleServer>& servers) -> std::vector<int>;

/// A stripe that is to have another owner.
struct StripeMove {
  int stripe = 0;
  KeyOwner to;
};

/// What a plan starts from.
struct PlacementState {
  const OwnerMap& map;
  /// For each stripe, whether nobody holds it.
  std::vector<bool> unassigned;
  const std::vector<EligibleServer>& servers;
  /// For each stripe, its part of the service's load, in any unit; empty if
  /// nothing is known of it.
  std::vector<double> loads;
};

/// Deals stripes to servers by weight and load. Stripes next to each other go
/// to different servers, so that a run of busy neighbouring keys is shared: it
/// answers the load of a few hundred adjacent keys that are busy all at once.
/// A stripe that is a server's load by itself goes to one of the greatest
/// weight, and the others leave it: it answers the load of one busy key.
class StripePlanner {
 public:
  /// @return an owner for each vacant stripe.
  [[nodiscard]] static auto AssignStripes(const PlacementState& state)
      -> std::vector<StripeMove>;
  /// @return stripes that should leave their servers, for ones that have less
  ///   than their part.
  /// @param most  how many stripes may move.
  [[nodiscard]] static auto StripesToMove(const PlacementState& state,
                                          int max_moves) -> std::vector<int>;
};

}  // namespace currantbeam
