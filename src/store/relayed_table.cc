#include "store/relayed_table.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace currantbeam {
namespace {

/// Tombstones are dropped when they outnumber both limits: a multiple of the
/// live rows, and a number that is always kept.
constexpr std::size_t kMaxTombstonesPerRow = 2;
constexpr std::size_t kMinTombstoneLimit = 64;
/// Gaps in the history that are remembered, before the history is cut short.
constexpr std::size_t kMaxGaps = 16;
/// Versions from which compressed rows are kept.
constexpr std::size_t kMaxCompressed = 8;

/// @return a hash of the row's key and version; 0 for a row that is deleted.
auto RowHash(const StoreRow& row) -> std::uint32_t {
  if (row.is_deleted || row.version.number == 0) return 0;
  return static_cast<std::uint32_t>(
      XXH64(row.name.key.data(), row.name.key.size(), row.version.number));
}

}  // namespace

auto RelayedTable::OnRead(const RowBatch& batch, TimePoint as_of) -> void {
  this->Replace(batch);
  this->as_of = as_of;
  this->DropStaleUpdate();
}

auto RelayedTable::OnFollowed(const RowBatch& batch, TimePoint as_of) -> void {
  this->Merge(batch);
  this->as_of = as_of;
  this->DropStaleUpdate();
}

auto RelayedTable::OnUpdate(TableUpdate update, TimePoint requested_at)
    -> void {
  if (update.version < this->floor) return;
  if (this->update && update.version < this->update->version) return;
  this->relayed_as_of =
      std::max(this->relayed_as_of, requested_at - update.age);
  this->update = std::move(update);
}

auto RelayedTable::TakeTable(TimePoint now) -> std::optional<RowBatch> {
  const bool is_old = now >= this->relayed_as_of + kMaxUpdateAge;
  if (!this->update || is_old) return std::nullopt;
  const bool is_full = this->update->is_full;
  if (!is_full && this->version.number == 0) return std::nullopt;
  RowBatch batch;
  batch.rows = std::move(this->update->rows);
  batch.version = this->update->version;
  this->update.reset();
  if (is_full) {
    this->OnRead(batch, this->relayed_as_of);
  } else {
    this->OnFollowed(batch, this->relayed_as_of);
  }
  return this->LiveRows();
}

auto RelayedTable::LiveRows() const -> RowBatch {
  RowBatch batch;
  batch.version = this->version;
  for (const auto& [key, row] : this->rows) {
    if (!row.is_deleted) batch.rows.push_back(row);
  }
  return batch;
}

auto RelayedTable::TakeChanges(StoreVersion after) -> std::optional<RowBatch> {
  if (!this->update || this->update->is_full) return std::nullopt;
  RowBatch batch;
  for (auto& row : this->update->rows) {
    if (row.version > after) batch.rows.push_back(std::move(row));
  }
  batch.version = this->update->version;
  this->update.reset();
  this->OnFollowed(batch, this->relayed_as_of);
  if (batch.rows.empty()) return std::nullopt;
  return batch;
}

auto RelayedTable::Invalidate() -> void {
  this->version = StoreVersion();
  if (this->update && !this->update->is_full) this->update.reset();
}

auto RelayedTable::FreshUntil() const -> TimePoint {
  // A copy that a pending snapshot has to replace is not up to date.
  const bool is_known =
      this->version.number != 0 && !this->HasPendingSnapshot();
  return is_known ? this->relayed_as_of + kMaxUpdateAge : TimePoint{};
}

auto RelayedTable::UpdateSince(StoreVersion after, TimePoint now) const
    -> std::optional<TableUpdate> {
  auto update = this->HeaderSince(after, now);
  if (!update) return std::nullopt;
  for (const auto* row : this->RowsSince(after)) update->rows.push_back(*row);
  return update;
}

auto RelayedTable::HeaderSince(StoreVersion after, TimePoint now) const
    -> std::optional<TableUpdate> {
  if (this->version.number == 0) return std::nullopt;
  TableUpdate update;
  update.table = this->table;
  update.is_full = !this->HasHistorySince(after);
  update.version = this->version;
  update.age = now - this->as_of;
  return update;
}

auto RelayedTable::RowsSince(StoreVersion after) const
    -> std::vector<const StoreRow*> {
  const bool is_full = !this->HasHistorySince(after);
  std::vector<const StoreRow*> selected;
  for (const auto& [key, row] : this->rows) {
    const bool is_included = is_full ? !row.is_deleted : row.version > after;
    if (is_included) selected.push_back(&row);
  }
  return selected;
}

auto RelayedTable::BytesSince(StoreVersion after) const -> std::size_t {
  std::size_t bytes = 0;
  for (const auto* row : this->RowsSince(after)) bytes += row->value.size();
  return bytes;
}

auto RelayedTable::CompressedRowsSince(StoreVersion after)
    -> std::shared_ptr<const std::string> {
  const bool is_outdated = this->compressed_version != this->version ||
                           this->compressed_rows.size() >= kMaxCompressed;
  if (is_outdated) this->compressed_rows.clear();
  this->compressed_version = this->version;
  auto& compressed = this->compressed_rows[after];
  if (!compressed) {
    std::vector<StoreRow> selected;
    for (const auto* row : this->RowsSince(after)) selected.push_back(*row);
    compressed = std::make_shared<const std::string>(
        TableUpdate::CompressRows(selected));
  }
  return compressed;
}

auto RelayedTable::Replace(const RowBatch& batch) -> void {
  const bool is_successor = this->floor.number != 0 &&
                            this->floor.epoch == batch.version.epoch &&
                            this->floor <= batch.version;
  if (is_successor) {
    this->AddGap(this->floor, batch.version);
    this->DeleteMissingRows(batch);
    this->Merge(batch);
    return;
  }
  this->rows.clear();
  this->digest = 0;
  for (const auto& row : batch.rows) {
    this->rows[row.name.key] = row;
    this->digest ^= RowHash(row);
  }
  this->version = batch.version;
  this->history_start = batch.version;
  this->gaps.clear();
}

auto RelayedTable::HasHistorySince(StoreVersion after) const -> bool {
  if (after.number == 0 || after < this->history_start) return false;
  return std::none_of(
      this->gaps.begin(), this->gaps.end(),
      [&](const Gap& gap) { return gap.last < after && after < gap.next; });
}

auto RelayedTable::AddGap(StoreVersion last, StoreVersion next) -> void {
  this->gaps.push_back({last, next});
  if (this->gaps.size() <= kMaxGaps) return;
  this->history_start = std::max(this->history_start, this->gaps.front().next);
  this->gaps.erase(this->gaps.begin());
}

auto RelayedTable::DeleteMissingRows(const RowBatch& whole_table) -> void {
  std::set<std::string> present;
  for (const auto& row : whole_table.rows) present.insert(row.name.key);
  for (auto& [key, row] : this->rows) {
    if (row.is_deleted || present.count(key) != 0) continue;
    this->digest ^= RowHash(row);
    row.value.clear();
    row.is_deleted = true;
    row.written_after = Duration(0);
    // The deletion was at this version or an earlier one.
    row.version = whole_table.version;
  }
}

auto RelayedTable::Merge(const RowBatch& batch) -> void {
  for (const auto& row : batch.rows) {
    if (!row.name.partition.empty()) continue;
    auto& existing = this->rows[row.name.key];
    if (row.version <= existing.version) continue;
    this->digest ^= RowHash(existing) ^ RowHash(row);
    existing = row;
  }
  this->version = std::max(this->version, batch.version);
  this->DropOldTombstones();
}

auto RelayedTable::DropStaleUpdate() -> void {
  this->floor = std::max(this->floor, this->version);
  if (this->update && this->update->version < this->floor) this->update.reset();
}

auto RelayedTable::DropOldTombstones() -> void {
  std::vector<StoreVersion> tombstones;
  for (const auto& [key, row] : this->rows) {
    if (row.is_deleted) tombstones.push_back(row.version);
  }
  const auto live_rows = this->rows.size() - tombstones.size();
  if (tombstones.size() <=
      std::max(kMinTombstoneLimit, kMaxTombstonesPerRow * live_rows)) {
    return;
  }
  const auto middle =
      tombstones.begin() + static_cast<std::ptrdiff_t>(tombstones.size() / 2);
  std::nth_element(tombstones.begin(), middle, tombstones.end());
  this->history_start = std::max(this->history_start, *middle);
  for (auto it = this->rows.begin(); it != this->rows.end();) {
    const bool is_old =
        it->second.is_deleted && it->second.version <= this->history_start;
    it = is_old ? this->rows.erase(it) : std::next(it);
  }
}

}  // namespace currantbeam
