#pragma once

#include <string>
#include <vector>

#include "keys/owner_map.h"
#include "store/store_client.h"

namespace currantbeam {

/// What a committed change of a service's owners did, as the keeper tells the
/// other hosts, so that they need not read it from the store.
struct OwnerUpdate {
  struct Change {
    int stripe = 0;
    KeyOwner owner;
    FencingToken token = 0;
  };

  ServiceName service;
  StoreVersion base_version = 0;  ///< Of the map that was changed.
  StoreVersion version = 0;       ///< Of the map that came of it.
  std::vector<Change> changes;

  /// @return what turns one map into the other.
  static auto ChangesBetween(const OwnerMap& before, const OwnerMap& after)
      -> std::vector<Change>;
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is no update.
  static auto Decode(const std::string& text) -> OwnerUpdate;
};

}  // namespace currantbeam
