#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "backends/backend_target.h"
#include "backends/removed_servers.h"

namespace currantbeam {

/// The known backend servers, maintained from the entries that they publish in
/// the store.
class BackendDirectory {
 public:
  explicit BackendDirectory(const Clock& clock)
      : clock(clock), removed(clock) {}

  /// Sets the services of the configuration; before that, every service counts
  /// as one. An entry of another service names no server to use, but is kept in
  /// case that the service is configured later.
  auto SetServices(std::set<ServiceName> services) -> void;
  /// Adds or updates a server. If it has restarted, or its address or service
  /// has changed, its observed load is reset.
  ///
  /// An entry that is older than the one in use, as after a restore of the
  /// store, is held back: a running server writes a newer one within seconds,
  /// and the entry of another one is removed. If neither happens, the held
  /// entry is used after some seconds.
  ///
  /// An entry of a removed server that returns with a restored table is held
  /// back whatever its sequence, as the store may update the sequence alone
  /// without reporting a change. At other times it is used at once, unless its
  /// sequence is lower than the last one.
  /// @return whether the entry is in use; false if it is held back, or of a
  ///   service that is not configured.
  auto Apply(const BackendEntry& published) -> bool;
  /// The server's entry was removed from the store. Within the grace period
  /// after the store has recovered or was restored, the server is kept until
  /// the period ends.
  auto Remove(const ServerId& id) -> void;
  /// The server process has said that it leaves. It counts as draining,
  /// whatever its entry says, until another process of the server registers.
  auto OnLeaving(const ServerId& id, std::chrono::milliseconds started) -> void;
  /// The store is reachable again. Starts the grace period, as entries may have
  /// expired while it was unreachable and their servers publish them again.
  /// @param unreachable_at  the latest time at which the store is known to have
  ///   been unreachable. The later it was reached again after that, the shorter
  ///   is the grace period, as the store may have been back before.
  auto OnStoreRecovered(TimePoint unreachable_at) -> void;
  /// The store is known, by this host or another one, to have answered since
  /// then. Entries that are missing for longer than the grace period after that
  /// are those of servers that left.
  auto OnStoreUpSince(TimePoint since) -> void;
  /// The store was restored from an older copy. Starts the grace period, as the
  /// entries written since are missing and their servers publish them again.
  /// The entries applied until OnSynced() are those of the restored table.
  auto OnRollback() -> void;
  /// All entries of the table have been applied.
  auto OnSynced() -> void { this->is_restoring = false; }
  /// Sets how many gateways send requests to the servers.
  auto SetGateways(int gateways) -> void;
  /// Removes the servers whose entries were not published again within the
  /// grace period, and uses entries that were held back for long enough. To be
  /// called periodically; both happen with that delay.
  auto ApplyTimeouts() -> void;

  /// @return the servers of the service that are not draining, ordered by id.
  [[nodiscard]] auto Ready(const ServiceName& service) const
      -> const std::vector<BackendTargetPtr>&;
  /// @return the server, draining or not; null if it is unknown.
  [[nodiscard]] auto Find(const ServerId& id) const -> BackendTargetPtr;
  /// @return whether the entry in use is the one in the table, as far as this
  ///   host knows the table: it is not missing there, and no other one of the
  ///   server is held back.
  [[nodiscard]] auto HasCurrentEntry(const ServerId& id) const -> bool {
    return this->expired.count(id) == 0 && this->held.count(id) == 0;
  }
  [[nodiscard]] auto All() const
      -> const std::unordered_map<ServerId, BackendTargetPtr>& {
    return this->targets;
  }

 private:
  /// An entry that is older than what is known of its server.
  struct HeldEntry {
    BackendEntry entry;
    TimePoint held_until{};
  };

  /// A server process that has said that it leaves.
  struct LeavingProcess {
    std::chrono::milliseconds started{0};
    TimePoint remembered_until{};
  };

  /// @return the entry, as draining if its server process leaves.
  [[nodiscard]] auto WithLeaving(BackendEntry entry) const -> BackendEntry;
  auto ForgetLeavingProcesses(TimePoint now) -> void;
  [[nodiscard]] auto IsConfigured(const ServiceName& service) const -> bool {
    return !this->services || this->services->count(service) != 0;
  }
  /// Keeps the entry of a service that is not configured; its server gets no
  /// requests.
  auto SetAside(const BackendEntry& entry) -> void;
  /// @return why the entry is older than what is known of the server; empty if
  ///   it isn't.
  [[nodiscard]] auto CheckAge(const BackendEntry& entry) const
      -> std::optional<OutdatedReason>;
  auto Hold(const BackendEntry& entry, OutdatedReason reason) -> void;
  [[nodiscard]] auto GracePeriodEnd() const -> TimePoint {
    return std::max(this->outage_grace_end, this->restore_grace_end);
  }
  auto Use(const BackendEntry& entry) -> void;
  auto RemoveTarget(const ServerId& id) -> void;
  auto RemoveExpired(TimePoint now) -> void;
  auto UseHeldEntries(TimePoint now) -> void;
  auto Rebuild() -> void;

  const Clock& clock;
  std::unordered_map<ServerId, BackendTargetPtr> targets;
  std::unordered_map<ServiceName, std::vector<BackendTargetPtr>> ready;
  std::unordered_map<ServiceName, std::shared_ptr<TypicalLatency>>
      typical_latencies;
  /// Servers without an entry, with the end of their grace period.
  std::map<ServerId, TimePoint> expired;
  std::map<ServerId, HeldEntry> held;
  std::optional<std::set<ServiceName>> services;
  std::map<ServerId, BackendEntry> set_aside;
  std::map<ServerId, LeavingProcess> leaving;
  RemovedServers removed;
  bool is_restoring = false;      ///< A restored table is being applied.
  TimePoint outage_grace_end{};   ///< Of the grace period after an outage.
  TimePoint restore_grace_end{};  ///< Of the one after a restore.
  int gateways = 1;
};

}  // namespace currantbeam
