#pragma once

#include <optional>
#include <vector>

#include "keys/coordinator_lease.h"
#include "keys/grant_scheduler.h"
#include "keys/load_aggregator.h"
#include "keys/owner_update.h"

namespace currantbeam {

/// The table in which the owners of each keyed service's keys are kept.
constexpr const char* kOwnersTable = "owners";

/// One service's owners between the store and the keeper's decisions: loads
/// the map anew in each term of the lease, and commits changes before any
/// grant follows from them.
class ServiceCoordinator {
 public:
  ServiceCoordinator(ServiceName name, StoreClient& store, const Clock& clock,
                     const CoordinatorLease& lease, const GrantTiming& timing,
                     int stripe_count = kDefaultStripeCount);

  [[nodiscard]] auto Name() const -> const ServiceName& { return this->name; }
  /// Loads the map from the store if it is not known for this term of the
  /// lease, or if a change of it may be in the store without an answer.
  auto LoadIfNeeded() -> void;
  /// Call while the lease is held.
  /// @param servers  that may own keys, weighed by their slots.
  /// @return calls that are due; answer each at Keeper().
  auto TakeDueCommands(std::vector<EligibleServer> servers)
      -> std::vector<KeyCommand>;
  /// Commits the changes that are due, if the lease is held. Not to be called
  /// while the lease is being renewed.
  /// @return what was changed, if anything.
  auto CommitChanges() -> std::optional<OwnerUpdate>;
  /// Takes in what a gateway saw.
  auto AddLoad(const ServiceLoad& load) -> void {
    this->load_aggregator.Add(load);
  }
  [[nodiscard]] auto Scheduler() -> GrantScheduler& { return this->scheduler; }
  /// @return the owners as they are in the store, as far as known; of version
  ///   0 if there are none.
  [[nodiscard]] auto StoredOwners() const -> const StoreRow& {
    return this->stored;
  }

 private:
  auto Load() -> void;
  auto UpdateServers(std::vector<EligibleServer> servers) -> void;
  [[nodiscard]] auto CanCommit() const -> bool;

  ServiceName name;
  StoreClient& store;
  const Clock& clock;
  const CoordinatorLease& lease;
  GrantScheduler scheduler;
  StoreRow stored;
  LoadAggregator load_aggregator;
  int stripe_count;
  int loaded_term = 0;  ///< The lease's term in which the map was loaded.
  bool is_commit_unknown = false;
  std::size_t server_count = 0;
  TimePoint server_count_changed_at{};
};

}  // namespace currantbeam
