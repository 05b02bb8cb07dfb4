#include "keys/service_coordinator.h"

#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

/// The first owners are chosen once no server has joined for this long.
constexpr auto kServersSettle = std::chrono::milliseconds(1000);

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
      keeper(clock, timing),
      view(stripe_count),
      stripe_count(stripe_count) {}

auto ServiceCoordinator::LoadIfDue() -> void {
  if (!this->lease.IsHeld()) return;
  if (this->loaded_term == this->lease.Term() && !this->is_commit_unknown) {
    return;
  }
  this->Load();
}

auto ServiceCoordinator::TakeOrders(std::vector<EligibleServer> servers)
    -> std::vector<KeyCommand> {
  if (this->loaded_term != this->lease.Term()) return {};
  this->NoteServers(std::move(servers));
  this->keeper.SetLeaseLeft(this->lease.Left());
  return this->keeper.TakeOrders();
}

auto ServiceCoordinator::NoteServers(std::vector<EligibleServer> servers)
    -> void {
  if (servers.size() != this->servers_seen) {
    this->servers_seen = servers.size();
    this->servers_seen_at = this->clock.Now();
  }
  this->view.Roll(this->clock.Now());
  std::vector<int> slots;
  slots.reserve(servers.size());
  for (const auto& server : servers) {
    slots.push_back(static_cast<int>(server.weight));
  }
  this->view.Weigh(servers, slots, this->clock.Now());
  this->keeper.SetServers(std::move(servers), this->view.StripeLoads());
}

auto ServiceCoordinator::Load() -> void {
  const auto term = this->lease.Term();
  try {
    const auto batch = this->store.Read(kOwnersTable, "");
    if (!this->lease.IsHeld() || this->lease.Term() != term) return;
    OwnerMap map(this->stripe_count);
    this->stored = StoreRow{RowOf(this->name), "", 0, false};
    for (const auto& row : batch.rows) {
      if (row.name.key != this->name.Value()) continue;
      map = OwnerMap::Decode(row.value);
      this->stored = row;
    }
    this->keeper.Load(std::move(map), this->stored.version);
    this->loaded_term = term;
    this->is_commit_unknown = false;
  } catch (const Error& error) {
    Log(events::kOwnersUnread,
        {{"service", this->name.Value()}, {"error", error.what()}});
  }
}

auto ServiceCoordinator::MayCommit() const -> bool {
  if (this->loaded_term != this->lease.Term()) return false;
  if (this->is_commit_unknown) return false;
  if (this->keeper.Version() != 0) return true;
  return this->clock.Now() - this->servers_seen_at >= kServersSettle;
}

auto ServiceCoordinator::CommitChanges() -> std::optional<OwnerUpdate> {
  if (!this->lease.IsHeld() || !this->MayCommit()) return std::nullopt;
  if (!this->keeper.PlanChange()) return std::nullopt;
  StoreWrite write;
  write.conditions.push_back(this->lease.Condition());
  write.conditions.push_back({RowOf(this->name), this->keeper.Version()});
  write.puts.push_back(
      {RowOf(this->name), this->keeper.PlannedMap().Encode(), 0, false});
  const auto result = this->store.Write(write);
  if (result.outcome == WriteOutcome::kWritten) {
    const int moves = this->keeper.PlannedMoves();
    OwnerUpdate update;
    update.service = this->name;
    update.base = this->keeper.Version();
    update.version = result.version;
    update.changes =
        OwnerUpdate::Between(this->keeper.Map(), this->keeper.PlannedMap());
    this->keeper.OnCommitted(result.version);
    this->stored = std::move(write.puts.front());
    this->stored.version = result.version;
    Log(events::kOwnersCommitted, {{"service", this->name.Value()},
                                   {"version", result.version},
                                   {"moves", moves},
                                   {"fence", this->keeper.Map().LastToken()}});
    return update;
  }
  // Without an answer the write may be done already, or be done later; what
  // it does not change goes on meanwhile.
  this->is_commit_unknown = true;
  if (result.outcome == WriteOutcome::kConflict) this->loaded_term = 0;
  Log(result.outcome == WriteOutcome::kUnknown ? events::kCommitUnknown
                                               : events::kCommitConflict,
      {{"row", "owners/" + this->name.Value()}});
  return std::nullopt;
}

}  // namespace currantbeam
