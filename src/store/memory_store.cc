#include "store/memory_store.h"

#include <algorithm>

namespace currantbeam {

auto MemoryStore::IdOf(const RowName& name) -> RowId {
  return {name.table, name.partition, name.key};
}

auto MemoryStore::CheckAvailable() const -> void {
  if (this->down) throw StoreError("the store is down");
}

auto MemoryStore::StoreTime() const -> Duration {
  return this->clock.Now().time_since_epoch();
}

auto MemoryStore::Find(const RowName& name) const -> std::optional<StoreRow> {
  const auto& rows = this->state.rows;
  const auto it = rows.find(IdOf(name));
  if (it == rows.end() || it->second.is_deleted) return std::nullopt;
  return it->second;
}

auto MemoryStore::Restore(const Copy& copy) -> void {
  const auto epoch = this->Epoch() + 1;
  this->state = copy;
  this->state.version.epoch = epoch;
  this->state.history_start.epoch = epoch;
  for (auto& [id, row] : this->state.rows) row.version.epoch = epoch;
}

auto MemoryStore::Put(const RowName& name, const std::string& value) -> void {
  ++this->state.version.number;
  this->state.rows[IdOf(name)] = {name, value, this->state.version, false};
}

auto MemoryStore::Remove(const RowName& name) -> void {
  ++this->state.version.number;
  this->state.rows[IdOf(name)] = {name, "", this->state.version, true};
}

auto MemoryStore::Read(const std::string& table, const std::string& partition)
    -> RowBatch {
  this->CheckAvailable();
  RowBatch batch;
  for (const auto& [id, row] : this->state.rows) {
    const bool matches =
        row.name.table == table && row.name.partition == partition;
    if (matches && !row.is_deleted) batch.rows.push_back(row);
  }
  batch.version = this->state.version;
  batch.store_time = this->StoreTime();
  return batch;
}

auto MemoryStore::Follow(const std::string& table, StoreVersion after,
                         std::chrono::milliseconds /*wait*/) -> RowBatch {
  this->CheckAvailable();
  if (after < this->state.history_start) {
    throw HistoryLost("history was dropped", this->Epoch());
  }
  if (after > this->state.version || after.epoch != this->Epoch()) {
    throw HistoryLost("the version was lost in a restore", this->Epoch());
  }
  RowBatch batch;
  for (const auto& [id, row] : this->state.rows) {
    if (row.name.table == table && row.version > after) {
      batch.rows.push_back(row);
    }
  }
  std::sort(batch.rows.begin(), batch.rows.end(),
            [](const StoreRow& a, const StoreRow& b) {
              return a.version < b.version;
            });
  batch.version = this->state.version;
  batch.store_time = this->StoreTime();
  return batch;
}

auto MemoryStore::Write(const StoreWrite& write) -> WriteResult {
  WriteResult result;
  if (this->down) return result;
  bool has_other_epoch = false;
  for (const auto& condition : write.conditions) {
    has_other_epoch |= condition.version.epoch != this->Epoch();
    const auto row = this->Find(condition.name);
    if (row) result.rows.push_back(*row);
    // The store itself compares the numbers only.
    if ((row ? row->version.number : 0) != condition.version.number) {
      result.outcome = WriteOutcome::kConflict;
    }
  }
  result.store_time = this->StoreTime();
  if (result.outcome == WriteOutcome::kConflict) return result;
  result.rows.clear();
  ++this->state.version.number;
  for (auto row : write.puts) {
    row.version = this->state.version;
    this->state.rows[IdOf(row.name)] = row;
  }
  for (const auto& name : write.removals) {
    this->state.rows[IdOf(name)] = {name, "", this->state.version, true};
  }
  if (this->responses_to_drop > 0) {
    --this->responses_to_drop;
    return WriteResult();
  }
  if (has_other_epoch) return result;
  result.outcome = WriteOutcome::kWritten;
  result.version = this->state.version;
  return result;
}

}  // namespace currantbeam
