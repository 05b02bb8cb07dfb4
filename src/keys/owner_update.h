#pragma once

#include <string>
#include <vector>

#include "keys/owner_map.h"
#include "store/store_client.h"

namespace currantbeam {

/// A committed change of a service's OwnerMap. The KeyCoordinator sends it to
/// the other hosts, so that they need not read the map from the store.
struct OwnerUpdate {
  struct Change {
    int stripe = 0;
    KeyOwner owner;
    FencingToken token = 0;
  };

  ServiceName service;
  StoreVersion base_version;  ///< Version of the map that it applies to.
  StoreVersion version;       ///< Version of the changed map.
  std::vector<Change> changes;

  /// @return the stripes whose token differs between the maps, with their
  ///   owners in the second one.
  static auto ChangesBetween(const OwnerMap& before, const OwnerMap& after)
      -> std::vector<Change>;
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded update.
  static auto Decode(const std::string& text) -> OwnerUpdate;
};

}  // namespace currantbeam
