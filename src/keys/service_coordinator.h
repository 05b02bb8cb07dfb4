#pragma once

#include <optional>
#include <vector>

#include "keys/coordinator_lease.h"
#include "keys/grant_scheduler.h"
#include "keys/load_aggregator.h"
#include "keys/owner_update.h"

namespace currantbeam {

/// The table in the store with one row for each keyed service: its owner map.
constexpr const char* kOwnersTable = "owners";

/// Connects the GrantScheduler of one keyed service with the store. Loads the
/// owner map in each term of the CoordinatorLease and commits its changes,
/// which are granted only after the commit. Owned by KeyCoordinator, which
/// sends the commands.
class ServiceCoordinator {
 public:
  ServiceCoordinator(ServiceName name, StoreClient& store, const Clock& clock,
                     const CoordinatorLease& lease, const GrantTiming& timing,
                     int stripe_count = kDefaultStripeCount);

  [[nodiscard]] auto Name() const -> const ServiceName& { return this->name; }
  /// Loads the map from the store, if the lease is held and the map was not
  /// loaded in this term and epoch, or the last commit failed or its outcome is
  /// unknown. A failure is logged; a later call retries.
  auto LoadIfNeeded() -> void;
  /// @return whether the scheduler has the map of the current lease term.
  [[nodiscard]] auto IsLoaded() const -> bool;
  /// Call while the lease is held.
  /// @param servers  that may own keys, weighted by their slots.
  /// @return the commands that are due; report the result of each one to
  ///   Scheduler(). Empty until the map is loaded.
  auto TakeDueCommands(std::vector<EligibleServer> servers)
      -> std::vector<KeyCommand>;
  /// Commits the changes that are due, if the lease is held. Must not run while
  /// the lease is being renewed.
  /// @return the committed change; nothing if there was none, or if the commit
  ///   failed or its outcome is unknown.
  auto CommitChanges() -> std::optional<OwnerUpdate>;
  /// Adds the load that a gateway reported.
  auto AddLoad(const ServiceLoad& load) -> void {
    this->load_aggregator.Add(load);
  }
  [[nodiscard]] auto Scheduler() -> GrantScheduler& { return this->scheduler; }
  /// @return the owners' row as it was last read or written; version 0 if there
  ///   is none.
  [[nodiscard]] auto StoredOwners() const -> const StoreRow& {
    return this->stored;
  }

 private:
  [[nodiscard]] auto NeedsLoad() const -> bool;
  auto Load() -> void;
  /// Applies a map that was read from the store.
  auto OnRead(OwnerMap map, StoreRow row) -> void;
  auto UpdateServers(std::vector<EligibleServer> servers) -> void;
  /// @return whether the map is loaded and, before the first commit of a
  ///   service, whether its number of servers is stable.
  [[nodiscard]] auto CanCommit() const -> bool;

  ServiceName name;
  StoreClient& store;
  const Clock& clock;
  const CoordinatorLease& lease;
  GrantScheduler scheduler;
  StoreRow stored;
  LoadAggregator load_aggregator;
  int stripe_count;
  int loaded_term = 0;          ///< The lease term in which the map was loaded.
  StoreEpoch loaded_epoch = 0;  ///< The epoch in which it was last read.
  bool is_commit_unknown = false;
  bool has_conflict = false;  ///< The last commit failed.
  TimePoint next_load_at{};
  std::size_t server_count = 0;
  TimePoint server_count_changed_at{};
};

}  // namespace currantbeam
