#pragma once

#include <optional>
#include <unordered_map>

#include "keys/owner_map.h"
#include "store/store.h"

namespace currantbeam {

/// The owners of all keyed services, as last read from the store.
class OwnerDirectory : public TableListener {
 public:
  /// @return the owner of the key; null if none is known.
  [[nodiscard]] auto Find(const ServiceName& service, int key) const
      -> const KeyOwner*;

  /// @return the key's stripe; nothing if the service's owners are not known.
  [[nodiscard]] auto StripeOf(const ServiceName& service, int key) const
      -> std::optional<int>;

  auto OnRow(const StoreRow& row) -> void override;
  auto OnRemoved(const std::string& key) -> void override;
  auto OnCurrent() -> void override {}
  auto OnReachable(bool reachable) -> void override;

 private:
  std::unordered_map<ServiceName, OwnerMap> maps;
};

}  // namespace currantbeam
