#include "store/relayed_store.h"

#include <algorithm>
#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

/// How long a host waits for a table snapshot from the leader before it reads
/// the store: for the reply to one report.
constexpr Duration kSnapshotTimeout = std::chrono::milliseconds(300);
/// A host that waits for a snapshot checks this often whether it has become the
/// leader itself.
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(100);
/// The leader polls the store at least this often, as the other hosts rely on
/// the age of its copy.
constexpr auto kLeaderPollWait = std::chrono::milliseconds(400);
/// A host without updates from the leader polls the store for this long before
/// it checks for updates again.
constexpr auto kStandaloneWait = std::chrono::milliseconds(750);
/// Minimum time between a poll that returned changes and the next one of a host
/// without updates. All hosts poll while there is no leader, and a table that
/// changes all the time would otherwise answer every poll at once.
constexpr auto kMinStandaloneInterval = std::chrono::milliseconds(1000);

/// A call for changes that the store itself answers later than this has waited
/// for them, so they were written right before the response. Only estimates
/// depend on it.
constexpr Duration kPromptResponseTime = std::chrono::milliseconds(100);
/// Larger updates are announced, so that the messages that carry updates stay
/// small on any link.
constexpr std::size_t kMaxUpdateBytes = 16 * 1024;

}  // namespace

RelayedStore::RelayedStore(StoreClient& store, const Clock& clock,
                           const std::vector<std::string>& tables,
                           Duration election_timeout, CopyFetcher* fetcher)
    : store(store),
      clock(clock),
      election_deadline(clock.Now() + election_timeout),
      fetcher(fetcher) {
  for (const auto& table : tables) {
    this->tables.emplace(
        table, SharedTable{RelayedTable(table), {}, {}, {}, {}, {}, {}});
  }
}

auto RelayedStore::Read(const std::string& table, const std::string& partition)
    -> RowBatch {
  const auto it = this->tables.find(table);
  if (it == this->tables.end() || !partition.empty()) {
    return this->store.Read(table, partition);
  }
  auto& shared = it->second;
  const auto deadline =
      std::max(this->clock.Now() + kSnapshotTimeout, this->election_deadline);
  while (!this->is_leader) {
    const auto last_version = shared.table.LastVersion();
    const auto source = shared.table.HasPendingSnapshot()
                            ? RowSource::kRelayedSnapshot
                            : RowSource::kRelayed;
    if (auto rows = shared.table.TakeTable(this->clock.Now())) {
      this->OnReceived(shared, table, *rows, source, last_version);
      return std::move(*rows);
    }
    if (this->FetchAnnounced(shared)) continue;
    const auto remaining = deadline - this->clock.Now();
    if (remaining <= Duration(0)) break;
    this->AwaitUpdate(table, std::min(remaining, kLeaderCheckInterval));
  }
  return this->ReadDirectly(shared, table);
}

auto RelayedStore::ReadDirectly(SharedTable& shared, const std::string& table)
    -> RowBatch {
  const auto called_at = this->clock.Now();
  RowBatch batch;
  try {
    batch = this->store.Read(table, "");
  } catch (const StoreError&) {
    shared.failed_at = called_at;
    throw;
  }
  const auto requested_at = called_at - batch.age;
  const auto last_version = shared.table.LastVersion();
  const bool is_comparable =
      last_version.number != 0 && last_version.epoch == batch.version.epoch;
  if (is_comparable) {
    const auto last_current_at =
        this->store_clock.StoreTime(shared.table.AsOf());
    for (auto& row : batch.rows) {
      if (row.version > last_version) row.written_after = last_current_at;
    }
  }
  this->store_clock.OnResponse(batch.store_time, requested_at,
                               this->clock.Now());
  this->continuity.OnAnswer(requested_at, batch.store_up_for);
  shared.table.OnRead(batch, requested_at);
  const auto source = batch.is_from_peer ? RowSource::kPeer : RowSource::kRead;
  this->OnReceived(shared, table, batch, source, last_version);
  return batch;
}

auto RelayedStore::Follow(const std::string& table, StoreVersion after,
                          std::chrono::milliseconds wait) -> RowBatch {
  const auto it = this->tables.find(table);
  if (it == this->tables.end()) return this->store.Follow(table, after, wait);
  auto& shared = it->second;
  while (!this->is_leader) {
    const auto last_version = shared.table.LastVersion();
    if (auto changes = shared.table.TakeChanges(after)) {
      this->OnReceived(shared, table, *changes, RowSource::kRelayed,
                       last_version);
      return std::move(*changes);
    }
    if (this->FetchAnnounced(shared)) {
      if (!shared.table.HasPendingSnapshot()) continue;
      throw HistoryLost("another host sent the whole table",
                        shared.table.LastVersion().epoch);
    }
    const auto poll_at =
        std::max(shared.table.FreshUntil(), shared.next_poll_at);
    const auto remaining = poll_at - this->clock.Now();
    if (remaining <= Duration(0)) break;
    this->AwaitUpdate(table, remaining);
  }
  try {
    return this->FollowDirectly(shared, table, after,
                                std::min(wait, this->MaxWait(shared)));
  } catch (const StoreError&) {
    // The leader reaches the store, and its snapshot is newer than this copy.
    if (!shared.table.HasPendingSnapshot()) throw;
    throw HistoryLost("the store failed, but the leader sent a snapshot",
                      shared.table.LastVersion().epoch);
  }
}

auto RelayedStore::MaxWait(const SharedTable& shared) const
    -> std::chrono::milliseconds {
  // Without a wait, it shows at once whether the store answers this host.
  const bool is_old = this->clock.Now() - shared.table.AsOf() >= kMaxUpdateAge;
  if (is_old) return std::chrono::milliseconds(0);
  return this->is_leader ? kLeaderPollWait : kStandaloneWait;
}

auto RelayedStore::FollowDirectly(SharedTable& shared, const std::string& table,
                                  StoreVersion after,
                                  std::chrono::milliseconds wait) -> RowBatch {
  const auto requested_at = this->clock.Now();
  RowBatch batch;
  try {
    batch = this->store.Follow(table, after, wait);
  } catch (const HistoryLost& lost) {
    if (lost.Epoch() != after.epoch) shared.table.Invalidate();
    throw;
  } catch (const StoreError&) {
    shared.failed_at = requested_at;
    throw;
  }
  const auto received_at = this->clock.Now();
  const auto last_current_at = this->store_clock.StoreTime(shared.table.AsOf());
  const bool is_from_copy = batch.age != Duration(0);
  if (is_from_copy) {
    this->store_clock.OnEstimate(batch.store_time, requested_at);
  } else {
    this->store_clock.OnResponse(batch.store_time, requested_at, received_at);
  }
  const bool has_waited =
      !batch.is_from_peer && received_at - requested_at > kPromptResponseTime;
  for (auto& row : batch.rows) {
    row.written_after = has_waited ? batch.store_time : last_current_at;
  }
  // An empty response means that nothing changed until the wait had elapsed.
  const auto responded_by = batch.rows.empty()
                                ? std::min(received_at, requested_at + wait)
                                : received_at;
  const auto as_of = is_from_copy
                         ? requested_at - batch.age
                         : this->store_clock.RespondedAt(
                               batch.store_time, requested_at, responded_by);
  this->continuity.OnAnswer(as_of, batch.store_up_for);
  const auto last_version = shared.table.LastVersion();
  shared.table.OnFollowed(batch, as_of);
  const auto source =
      batch.is_from_peer ? RowSource::kPeer : RowSource::kFollowed;
  this->OnReceived(shared, table, batch, source, last_version);
  // A copy of another host may lack the latest changes.
  if (!batch.rows.empty() && !is_from_copy) {
    shared.next_poll_at = this->clock.Now() + kMinStandaloneInterval;
  }
  return batch;
}

auto RelayedStore::Write(const StoreWrite& write) -> WriteResult {
  return this->store.Write(write);
}

auto RelayedStore::Versions() const -> std::map<std::string, StoreVersion> {
  std::map<std::string, StoreVersion> versions;
  for (const auto& [name, shared] : this->tables) {
    versions.emplace(name, shared.table.Version());
  }
  return versions;
}

auto RelayedStore::Status(const std::string& table) const -> TableStatus {
  const auto it = this->tables.find(table);
  if (it == this->tables.end()) return {};
  const auto& shared = it->second;
  return {shared.table.Version(), this->clock.Now() - shared.table.AsOf(),
          shared.source, shared.failed_at > shared.table.AsOf()};
}

auto RelayedStore::OnReceived(SharedTable& shared, const std::string& table,
                              const RowBatch& batch, RowSource source,
                              StoreVersion last_version) -> void {
  if (batch.rows.empty()) return;
  shared.source = source;
  const auto now = this->clock.Now();
  const bool is_comparable =
      last_version.number != 0 && last_version.epoch == batch.version.epoch;
  int new_rows = 0;
  std::size_t bytes = 0;
  Duration max_delay{0};
  for (const auto& row : batch.rows) {
    bytes += row.value.size();
    const bool is_new = is_comparable && row.version > last_version;
    if (!is_new || row.written_after == Duration(0)) continue;
    const auto delay = std::max(
        this->store_clock.StoreTime(now) - row.written_after, Duration(0));
    this->delays.Record(table, source, delay);
    max_delay = std::max(max_delay, delay);
    ++new_rows;
  }
  Log(events::kTableUpdated,
      {{"table", table},
       {"source", ToString(source)},
       {"rows", batch.rows.size()},
       {"new_rows", new_rows},
       {"bytes", bytes},
       {"store_version", shared.table.Version().number},
       {"store_epoch", shared.table.Version().epoch},
       {"digest", shared.table.Digest()},
       {"age_ms", Milliseconds(now - shared.table.AsOf())},
       {"max_delay_ms", Milliseconds(max_delay)}});
}

auto RelayedStore::UpdatesSince(
    const std::map<std::string, StoreVersion>& versions) const
    -> std::vector<TableUpdate> {
  std::vector<TableUpdate> result;
  for (const auto& [name, version] : versions) {
    const auto it = this->tables.find(name);
    if (it == this->tables.end()) continue;
    auto update = it->second.table.UpdateSince(version, this->clock.Now());
    if (!update) continue;
    this->AddStoreTimes(*update);
    result.push_back(std::move(*update));
  }
  return result;
}

auto RelayedStore::SmallUpdatesSince(
    const std::map<std::string, StoreVersion>& versions) const -> TableUpdates {
  TableUpdates result;
  std::map<std::string, StoreVersion> small;
  for (const auto& [name, version] : versions) {
    const auto it = this->tables.find(name);
    if (it == this->tables.end()) continue;
    const auto& table = it->second.table;
    const bool is_large = table.Version().number != 0 &&
                          table.BytesSince(version) > kMaxUpdateBytes;
    if (is_large) {
      result.announcements.push_back({name, table.Version()});
    } else {
      small.emplace(name, version);
    }
  }
  result.updates = this->UpdatesSince(small);
  return result;
}

auto RelayedStore::CopySince(const std::string& table, StoreVersion after)
    -> std::optional<TableUpdate> {
  const auto it = this->tables.find(table);
  if (it == this->tables.end()) return std::nullopt;
  auto& copy = it->second.table;
  auto update = copy.HeaderSince(after, this->clock.Now());
  if (!update || update->version <= after) return std::nullopt;
  if (copy.BytesSince(after) > kMaxUpdateBytes) {
    update->compressed_rows = copy.CompressedRowsSince(after);
  } else {
    update = copy.UpdateSince(after, this->clock.Now());
    if (update->rows.empty()) return std::nullopt;
  }
  this->AddStoreTimes(*update);
  return update;
}

auto RelayedStore::AddStoreTimes(TableUpdate& update) const -> void {
  const auto now = this->clock.Now();
  update.store_time = this->store_clock.StoreTime(now);
  update.store_up_for = this->continuity.UpFor(now - update.age);
}

auto RelayedStore::OnAnnouncements(
    const std::vector<TableAnnouncement>& announcements,
    const std::string& announced_by) -> void {
  for (const auto& announcement : announcements) {
    const auto it = this->tables.find(announcement.table);
    if (it == this->tables.end()) continue;
    auto& shared = it->second;
    shared.announcement = announcement;
    shared.announced_by = announced_by;
    shared.has_update.Notify();
  }
}

auto RelayedStore::FetchAnnounced(SharedTable& shared) -> bool {
  if (!shared.announcement || this->fetcher == nullptr) return false;
  const auto announcement = *std::exchange(shared.announcement, std::nullopt);
  if (announcement.version <= shared.table.LastVersion()) return false;
  try {
    auto [batch, requested_at] = this->fetcher->Fetch(
        announcement, shared.announced_by, shared.table.Version());
    TableUpdate update;
    update.table = announcement.table;
    update.is_full = batch.is_whole_table;
    update.version = batch.version;
    update.age = batch.age;
    update.store_time = batch.store_time;
    update.store_up_for = batch.store_up_for;
    update.rows = std::move(batch.rows);
    this->OnUpdates({std::move(update)}, requested_at);
    return true;
  } catch (const StoreError&) {
    // The fetcher has logged the failure. The changes are announced again, and
    // the store is read once the copy is old.
    return false;
  }
}

auto RelayedStore::OnUpdates(std::vector<TableUpdate> updates,
                             TimePoint requested_at) -> void {
  for (auto& table_update : updates) {
    const auto it = this->tables.find(table_update.table);
    if (it == this->tables.end()) continue;
    auto& shared = it->second;
    const bool has_rows = !table_update.rows.empty() || table_update.is_full;
    if (table_update.store_time != Duration(0)) {
      this->store_clock.OnEstimate(table_update.store_time, requested_at);
    }
    this->continuity.OnAnswer(requested_at - table_update.age,
                              table_update.store_up_for);
    shared.table.OnUpdate(std::move(table_update), requested_at);
    if (has_rows) shared.has_update.Notify();
  }
}

auto RelayedStore::AwaitUpdate(const std::string& table, Duration max_wait)
    -> void {
  this->tables.at(table).has_update.WaitFor(max_wait);
}

}  // namespace currantbeam
