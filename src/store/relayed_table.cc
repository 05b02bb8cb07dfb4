#include "store/relayed_table.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// How old what another host tells may be. Changes have to be in force two
/// seconds after they were acknowledged.
constexpr auto kNewsLifetime = std::chrono::milliseconds(1400);
/// Deleted rows that are remembered, as a multiple of the others, and at least.
constexpr std::size_t kDeletedPerRow = 2;
constexpr std::size_t kLeastDeleted = 64;

}  // namespace

auto RelayedTable::OnRead(const RowBatch& batch, TimePoint as_of) -> void {
  this->Replace(batch);
  this->as_of = as_of;
  this->NoteVersion();
}

auto RelayedTable::OnFollowed(const RowBatch& batch, TimePoint as_of) -> void {
  this->Merge(batch);
  this->as_of = as_of;
  this->NoteVersion();
}

auto RelayedTable::OnNews(TableUpdate news, TimePoint asked) -> void {
  if (news.version < this->newest) return;
  this->heard_as_of = std::max(this->heard_as_of, asked - news.age);
  this->news = std::move(news);
}

auto RelayedTable::TakeWhole(TimePoint now) -> std::optional<RowBatch> {
  const bool is_old = now >= this->heard_as_of + kNewsLifetime;
  if (!this->news || !this->news->is_whole || is_old) return std::nullopt;
  RowBatch batch;
  batch.rows = std::move(this->news->rows);
  batch.version = this->news->version;
  this->news.reset();
  this->OnRead(batch, this->heard_as_of);
  return batch;
}

auto RelayedTable::TakeChanges(StoreVersion after) -> std::optional<RowBatch> {
  if (!this->news || this->news->is_whole) return std::nullopt;
  RowBatch batch;
  for (auto& row : this->news->rows) {
    if (row.version > after) batch.rows.push_back(std::move(row));
  }
  batch.version = this->news->version;
  this->news.reset();
  this->OnFollowed(batch, this->heard_as_of);
  if (batch.rows.empty()) return std::nullopt;
  return batch;
}

auto RelayedTable::Forget() -> void {
  this->version = 0;
  if (this->news && !this->news->is_whole) this->news.reset();
}

auto RelayedTable::FreshUntil() const -> TimePoint {
  // A table that has to be told whole is not up to date.
  const bool is_known =
      this->version != 0 && !(this->news && this->news->is_whole);
  return is_known ? this->heard_as_of + kNewsLifetime : TimePoint{};
}

auto RelayedTable::NewsSince(StoreVersion after, TimePoint now) const
    -> std::optional<TableUpdate> {
  if (this->version == 0) return std::nullopt;
  TableUpdate news;
  news.table = this->table;
  news.is_whole = after == 0 || after < this->base;
  news.version = this->version;
  news.age = now - this->as_of;
  for (const auto& [key, row] : this->rows) {
    const bool is_told = news.is_whole ? !row.is_deleted : row.version > after;
    if (is_told) news.rows.push_back(row);
  }
  return news;
}

auto RelayedTable::Replace(const RowBatch& batch) -> void {
  this->rows.clear();
  for (const auto& row : batch.rows) this->rows[row.name.key] = row;
  this->version = batch.version;
  this->base = batch.version;
}

auto RelayedTable::Merge(const RowBatch& batch) -> void {
  for (const auto& row : batch.rows) {
    if (!row.name.partition.empty()) continue;
    auto& known = this->rows[row.name.key];
    if (row.version > known.version) known = row;
  }
  this->version = std::max(this->version, batch.version);
  this->DropOldDeletions();
}

auto RelayedTable::NoteVersion() -> void {
  this->newest = std::max(this->newest, this->version);
  if (this->news && this->news->version < this->newest) this->news.reset();
}

auto RelayedTable::DropOldDeletions() -> void {
  std::vector<StoreVersion> deleted;
  for (const auto& [key, row] : this->rows) {
    if (row.is_deleted) deleted.push_back(row.version);
  }
  const auto present = this->rows.size() - deleted.size();
  if (deleted.size() <= std::max(kLeastDeleted, kDeletedPerRow * present)) {
    return;
  }
  const auto middle =
      deleted.begin() + static_cast<std::ptrdiff_t>(deleted.size() / 2);
  std::nth_element(deleted.begin(), middle, deleted.end());
  this->base = std::max(this->base, *middle);
  for (auto it = this->rows.begin(); it != this->rows.end();) {
    const bool is_old =
        it->second.is_deleted && it->second.version <= this->base;
    it = is_old ? this->rows.erase(it) : std::next(it);
  }
}

}  // namespace currantbeam
