#include "keys/service_coordinator.h"

#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

/// The first owners are chosen once the number of servers has not changed for
/// this long.
constexpr auto kServerSettleTime = std::chrono::milliseconds(1000);

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
  if (!this->lease.IsHeld()) return;
  if (this->loaded_term == this->lease.Term() && !this->is_commit_unknown) {
    return;
  }
  this->Load();
}

auto ServiceCoordinator::TakeDueCommands(std::vector<EligibleServer> servers)
    -> std::vector<KeyCommand> {
  if (this->loaded_term != this->lease.Term()) return {};
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
    OwnerMap map(this->stripe_count);
    this->stored =
        StoreRow{RowOf(this->name), "", {batch.version.epoch, 0}, false};
    for (const auto& row : batch.rows) {
      if (row.name.key != this->name.Value()) continue;
      map = OwnerMap::Decode(row.value);
      this->stored = row;
    }
    this->scheduler.Load(std::move(map), this->stored.version);
    this->loaded_term = term;
    this->is_commit_unknown = false;
  } catch (const Error& error) {
    Log(events::kOwnersUnread,
        {{"service", this->name.Value()}, {"error", error.what()}});
  }
}

auto ServiceCoordinator::CanCommit() const -> bool {
  if (this->loaded_term != this->lease.Term()) return false;
  if (this->is_commit_unknown) return false;
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
  if (result.outcome == WriteOutcome::kConflict) this->loaded_term = 0;
  Log(result.outcome == WriteOutcome::kUnknown ? events::kCommitUnknown
                                               : events::kCommitConflict,
      {{"row", "owners/" + this->name.Value()}});
  return std::nullopt;
}

}  // namespace currantbeam
