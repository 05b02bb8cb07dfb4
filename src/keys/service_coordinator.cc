#include "keys/service_coordinator.h"

#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

/// The first owners are chosen once the number of servers has not changed for
/// this long.
constexpr auto kServerSettleTime = std::chrono::milliseconds(1000);
/// How long a coordinator waits for the renewal of its lease after it has found
/// that the store was rolled back.
constexpr auto kLeaseRenewalDelay = std::chrono::milliseconds(100);

auto RowOf(const ServiceName& service) -> RowName {
  return {kOwnersTable, "", service.Value()};
}

}  // namespace

ServiceCoordinator::ServiceCoordinator(ServiceName name, StoreClient& store,
                                       const Clock& clock,
                                       const CoordinatorLease& lease,
                                       const GrantTiming& timing,
                                       int stripe_count)
    : name(std::move(name)),
      store(store),
      clock(clock),
      lease(lease),
      scheduler(clock, timing),
      load_aggregator(stripe_count),
      stripe_count(stripe_count) {}

auto ServiceCoordinator::LoadIfNeeded() -> void {
  if (!this->lease.IsHeld() || !this->NeedsLoad()) return;
  if (this->clock.Now() < this->next_load_at) return;
  this->Load();
}

auto ServiceCoordinator::IsLoaded() const -> bool {
  return this->loaded_term == this->lease.Term();
}

auto ServiceCoordinator::NeedsLoad() const -> bool {
  return !this->IsLoaded() || this->loaded_epoch != this->lease.Epoch() ||
         this->is_commit_unknown || this->has_conflict;
}

auto ServiceCoordinator::TakeDueCommands(std::vector<EligibleServer> servers)
    -> std::vector<KeyCommand> {
  if (!this->IsLoaded() || this->has_conflict) return {};
  this->UpdateServers(std::move(servers));
  this->scheduler.SetRemainingLease(this->lease.Remaining());
  return this->scheduler.TakeDueCommands();
}

auto ServiceCoordinator::UpdateServers(std::vector<EligibleServer> servers)
    -> void {
  if (servers.size() != this->server_count) {
    this->server_count = servers.size();
    this->server_count_changed_at = this->clock.Now();
  }
  this->load_aggregator.UpdateRates(this->clock.Now());
  std::vector<int> slots;
  slots.reserve(servers.size());
  for (const auto& server : servers) {
    slots.push_back(static_cast<int>(server.weight));
  }
  this->load_aggregator.SetWeights(servers, slots, this->clock.Now());
  this->scheduler.SetServers(std::move(servers),
                             this->load_aggregator.StripeLoads());
}

auto ServiceCoordinator::Load() -> void {
  const auto term = this->lease.Term();
  try {
    const auto batch = this->store.Read(kOwnersTable, "");
    if (!this->lease.IsHeld() || this->lease.Term() != term) return;
    // Changes could not be committed, and each try would hold up the lease.
    if (batch.is_from_peer) return;
    if (batch.version.epoch != this->lease.Epoch()) {
      // The lease has to be renewed in the new epoch first.
      this->next_load_at = this->clock.Now() + kLeaseRenewalDelay;
      return;
    }
    OwnerMap map(this->stripe_count);
    StoreRow row{RowOf(this->name), "", {batch.version.epoch, 0}, false};
    for (const auto& stored_row : batch.rows) {
      if (stored_row.name.key != this->name.Value()) continue;
      map = OwnerMap::Decode(stored_row.value);
      row = stored_row;
    }
    this->OnRead(std::move(map), std::move(row));
  } catch (const Error& error) {
    Log(events::kOwnersUnread,
        {{"service", this->name.Value()}, {"error", error.what()}});
  }
}

auto ServiceCoordinator::OnRead(OwnerMap map, StoreRow row) -> void {
  const bool is_rolled_back = row.version.number == 0
                                  ? this->lease.MayHaveLostRows()
                                  : map.Epoch() != row.version.epoch;
  if (is_rolled_back && this->IsLoaded()) {
    // Only this coordinator has changed the map since, so its own copy is the
    // newest one.
    this->scheduler.ContinueAfterRollback(row.version);
  } else if (is_rolled_back) {
    // A coordinator of this epoch, too, may have granted keys from its own copy
    // of the map until now, without committing it again.
    this->scheduler.LoadRolledBack(std::move(map), row.version);
  } else {
    this->scheduler.Load(std::move(map), row.version);
    this->stored = std::move(row);
  }
  this->loaded_term = this->lease.Term();
  this->loaded_epoch = this->lease.Epoch();
  this->is_commit_unknown = false;
  this->has_conflict = false;
}

auto ServiceCoordinator::CanCommit() const -> bool {
  if (this->NeedsLoad()) return false;
  if (this->scheduler.Version().number != 0) return true;
  return this->clock.Now() - this->server_count_changed_at >= kServerSettleTime;
}

auto ServiceCoordinator::CommitChanges() -> std::optional<OwnerUpdate> {
  if (!this->lease.IsHeld() || !this->CanCommit()) return std::nullopt;
  if (!this->scheduler.PlanChange()) return std::nullopt;
  StoreWrite write;
  write.conditions.push_back(this->lease.Condition());
  write.conditions.push_back({RowOf(this->name), this->scheduler.Version()});
  write.puts.push_back(
      {RowOf(this->name), this->scheduler.PlannedMap().Encode(), {}, false});
  const auto result = this->store.Write(write);
  if (result.outcome == WriteOutcome::kWritten) {
    const int moves = this->scheduler.PlannedMoves();
    OwnerUpdate update;
    update.service = this->name;
    update.base_version = this->scheduler.Version();
    update.version = result.version;
    update.changes = OwnerUpdate::ChangesBetween(this->scheduler.Map(),
                                                 this->scheduler.PlannedMap());
    this->scheduler.OnCommitted(result.version);
    this->stored = std::move(write.puts.front());
    this->stored.version = result.version;
    Log(events::kOwnersCommitted,
        {{"service", this->name.Value()},
         {"version", result.version.number},
         {"store_epoch", result.version.epoch},
         {"moves", moves},
         {"fence", this->scheduler.Map().LastToken()}});
    return update;
  }
  // Without a response the write may have been made, or may be made later.
  // Owners that it does not change are granted their keys meanwhile.
  this->is_commit_unknown = true;
  this->has_conflict = result.outcome == WriteOutcome::kConflict;
  Log(result.outcome == WriteOutcome::kUnknown ? events::kCommitUnknown
                                               : events::kCommitConflict,
      {{"row", "owners/" + this->name.Value()}});
  return std::nullopt;
}

}  // namespace currantbeam
