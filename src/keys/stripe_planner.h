#pragma once

#include <vector>

#include "keys/owner_map.h"

namespace currantbeam {

/// A server that may own keys, and its part of the work.
struct PlannedServer {
  KeyOwner owner;
  double weight = 1;
};

/// A stripe that is to have another owner.
struct StripeMove {
  int stripe = 0;
  KeyOwner to;
};

/// Deals stripes to servers by weight. Stripes next to each other go to
/// different servers, so that a run of busy neighbouring keys is shared.
/// Answers the load of a few hundred adjacent keys that are busy all at once.
class StripePlanner {
 public:
  /// @param vacant  for each stripe, whether it is to be dealt anew.
  /// @return an owner for each vacant stripe.
  [[nodiscard]] static auto Deal(const OwnerMap& map,
                                 const std::vector<bool>& vacant,
                                 const std::vector<PlannedServer>& servers)
      -> std::vector<StripeMove>;
  /// @return stripes that should leave servers which have more than their
  ///   part, for others that have less.
  /// @param most  how many stripes may move.
  [[nodiscard]] static auto Even(const OwnerMap& map,
                                 const std::vector<bool>& vacant,
                                 const std::vector<PlannedServer>& servers,
                                 int most) -> std::vector<int>;
};

}  // namespace currantbeam
