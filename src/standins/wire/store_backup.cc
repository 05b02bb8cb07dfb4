#include "standins/wire/store_backup.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr auto kCopyInterval = std::chrono::milliseconds(100);
constexpr auto kCopyRetention = std::chrono::seconds(30);

}  // namespace

auto StoreBackup::BeforeWrite() -> void {
  const auto now = this->clock.Now();
  const bool is_recent = !this->copies.empty() &&
                         now < this->copies.back().taken_at + kCopyInterval;
  if (is_recent) return;
  this->copies.push_back({now, this->store.TakeCopy()});
  while (this->copies.front().taken_at + kCopyRetention < now) {
    this->copies.pop_front();
  }
}

auto StoreBackup::RestoreTo(TimePoint time, Duration rewrite_delay) -> void {
  // A copy is taken before a write, so the next one shows what the store held.
  const auto next = std::find_if(
      this->copies.begin(), this->copies.end(),
      [&](const TimedCopy& copy) { return copy.taken_at >= time; });
  const auto copy =
      next == this->copies.end() ? this->store.TakeCopy() : next->copy;
  this->Restore(copy, rewrite_delay);
}

auto StoreBackup::Restore(const MemoryStore::Copy& copy, Duration rewrite_delay)
    -> void {
  this->DropOverwrittenRows();
  this->CollectLostRows(copy);
  this->store.Restore(copy);
  while (!this->copies.empty() &&
         this->copies.back().copy.version.number > copy.version.number) {
    this->copies.pop_back();
  }
  this->restored_version = copy.version.number;
  this->rewrite_at = this->clock.Now() + rewrite_delay;
}

auto StoreBackup::RewriteIfDue() -> void {
  if (this->lost_rows.empty() || this->clock.Now() < this->rewrite_at) return;
  this->DropOverwrittenRows();
  for (const auto& row : this->lost_rows) {
    this->BeforeWrite();
    if (row.is_deleted) {
      this->store.Remove(row.name);
    } else {
      this->store.Put(row.name, row.value);
    }
  }
  this->lost_rows.clear();
}

auto StoreBackup::DropOverwrittenRows() -> void {
  const auto current = this->store.TakeCopy().rows;
  const auto is_overwritten = [&](const StoreRow& row) {
    const auto it =
        current.find({row.name.table, row.name.partition, row.name.key});
    return it != current.end() &&
           it->second.version.number > this->restored_version;
  };
  this->lost_rows.erase(std::remove_if(this->lost_rows.begin(),
                                       this->lost_rows.end(), is_overwritten),
                        this->lost_rows.end());
}

auto StoreBackup::CollectLostRows(const MemoryStore::Copy& copy) -> void {
  const auto first = this->lost_rows.size();
  for (const auto& [id, row] : this->store.TakeCopy().rows) {
    const bool is_rewritten = this->rewritten_tables.count(row.name.table) != 0;
    if (is_rewritten && row.version.number > copy.version.number) {
      this->lost_rows.push_back(row);
    }
  }
  std::sort(this->lost_rows.begin() + static_cast<std::ptrdiff_t>(first),
            this->lost_rows.end(), [](const StoreRow& a, const StoreRow& b) {
              return a.version < b.version;
            });
}

}  // namespace currantbeam
