#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "keys/keys.h"
#include "store/store.h"

namespace currantbeam {

/// This host's copy of the owner maps of all keyed services. It is filled from
/// rows of the store and kept current by the KeyCoordinator's updates between
/// reads. PeerExchange polls StartReadIfDue and does the reads.
class OwnerDirectory {
 public:
  explicit OwnerDirectory(const Clock& clock) : clock(clock) {}

  /// @return the owner of the key; null if none is known.
  [[nodiscard]] auto Find(const ServiceName& service, int key) const
      -> const KeyOwner*;
  /// @return the key's stripe; nothing if the service has no owner map here.
  [[nodiscard]] auto StripeOf(const ServiceName& service, int key) const
      -> std::optional<int>;

  /// @return the version of each service's owner map.
  [[nodiscard]] auto Versions() const -> OwnerVersions;

  /// Applies a row of the owners table unless the map here is as new.
  auto OnRow(const StoreRow& row) -> void;
  /// Applies an update of the coordinator; requests a read if the update's base
  /// is not the version known here.
  auto OnUpdate(const OwnerUpdate& update) -> void;
  /// Requests a read if the coordinator's version is newer than the one known
  /// here.
  auto OnCoordinatorVersion(const ServiceName& service, StoreVersion version)
      -> void;

  /// Requests a read because an owner proved wrong or may be out of date.
  auto RequestRead() -> void { this->is_read_requested = true; }
  /// @return whether the caller must read the owners now. If so, the request
  /// for a read is cleared.
  auto StartReadIfDue() -> bool;

 private:
  struct ServiceOwners {
    OwnerMap map;
    StoreVersion version;
  };

  /// Bounds of the interval between reads, however many are requested. The
  /// interval doubles with each read that brings nothing new.
  static constexpr Duration kMinReadInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMaxReadInterval = std::chrono::seconds(4);

  const Clock& clock;
  std::unordered_map<ServiceName, ServiceOwners> services;
  bool is_read_requested = true;
  TimePoint last_read_at{};
  Duration read_interval = kMinReadInterval;
};

}  // namespace currantbeam
