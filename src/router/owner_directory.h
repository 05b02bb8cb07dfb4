#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "keys/keys.h"
#include "store/store.h"

namespace currantbeam {

/// The owners of all keyed services as this host knows them: from the store,
/// and from the keeper's updates in between.
class OwnerDirectory {
 public:
  explicit OwnerDirectory(const Clock& clock) : clock(clock) {}

  /// @return the owner of the key; null if none is known.
  [[nodiscard]] auto Find(const ServiceName& service, int key) const
      -> const KeyOwner*;
  /// @return the key's stripe; nothing if the service's owners are not known.
  [[nodiscard]] auto StripeOf(const ServiceName& service, int key) const
      -> std::optional<int>;

  /// @return the versions that are known, by service.
  [[nodiscard]] auto Versions() const -> OwnerVersions;

  /// Takes in a row of the store, unless it is older than what is known.
  auto OnRow(const StoreRow& row) -> void;
  /// Takes in an update of the keeper; asks for the store to be read if it
  /// does not follow on what is known.
  auto OnUpdate(const OwnerUpdate& update) -> void;
  /// The keeper works on this version; asks for the store to be read if it is
  /// not known here.
  auto OnKeeperVersion(const ServiceName& service, StoreVersion version)
      -> void;

  /// Something known here proved wrong, or may be out of date.
  auto AskForRead() -> void { this->is_read_due = true; }
  /// @return whether the store is to be read now; if so, it counts as done.
  auto TakeRead() -> bool;

 private:
  struct Known {
    OwnerMap map;
    StoreVersion version = 0;
  };

  /// Reads, however many requests find their owner wrong; more seldom while
  /// they bring nothing new.
  static constexpr Duration kLeastReadInterval = std::chrono::milliseconds(500);
  static constexpr Duration kMostReadInterval = std::chrono::seconds(4);

  const Clock& clock;
  std::unordered_map<ServiceName, Known> services;
  bool is_read_due = true;
  TimePoint read_at{};
  Duration read_interval = kLeastReadInterval;
};

}  // namespace currantbeam
