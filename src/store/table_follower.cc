#include "store/table_follower.h"

#include <algorithm>
#include <set>

#include "core/events.h"

namespace currantbeam {

auto TableFollower::Step() -> std::chrono::milliseconds {
  try {
    bool has_changed = true;
    if (this->has_snapshot) {
      has_changed = this->ApplyChanges();
    } else {
      this->ReadAll();
    }
    if (has_changed) this->listener.OnSynced();
    this->retry_delay = std::chrono::milliseconds(0);
    return has_changed ? this->options.batch_delay : this->retry_delay;
  } catch (const HistoryLost&) {
    this->has_snapshot = false;
    return std::chrono::milliseconds(0);
  } catch (const StoreError&) {
    this->SetReachable(false);
    this->retry_delay =
        std::clamp(this->retry_delay * 2, this->options.min_retry_delay,
                   this->options.max_retry_delay);
    return this->retry_delay;
  }
}

auto TableFollower::ReadAll() -> void {
  const auto batch =
      this->store.Read(this->options.table, this->options.partition);
  this->SetReachable(true);
  this->ReportRollback(batch.version);
  std::set<std::string> present;
  for (const auto& row : batch.rows) {
    present.insert(row.name.key);
    this->Deliver(row);
  }
  for (auto it = this->row_versions.begin(); it != this->row_versions.end();) {
    if (present.count(it->first) != 0) {
      ++it;
      continue;
    }
    this->listener.OnRemoved(it->first);
    it = this->row_versions.erase(it);
  }
  this->version = batch.version;
  this->has_snapshot = true;
}

auto TableFollower::ReportRollback(StoreVersion current) -> void {
  const bool is_first_read = this->version == StoreVersion();
  if (is_first_read || current.epoch == this->version.epoch) return;
  Log(events::kStoreRolledBack, {{"table", this->options.table},
                                 {"store_epoch", current.epoch},
                                 {"store_version", current.number},
                                 {"last_version", this->version.number}});
  this->listener.OnRollback();
}

auto TableFollower::ApplyChanges() -> bool {
  // After a failed call the store is not asked to wait: a long call that it
  // never answers would delay noticing that it is reachable again.
  const auto wait =
      this->reachable ? this->options.wait : std::chrono::milliseconds(0);
  const auto batch =
      this->store.Follow(this->options.table, this->version, wait);
  this->SetReachable(true);
  bool has_changed = false;
  for (const auto& row : batch.rows) {
    if (row.name.partition != this->options.partition) continue;
    has_changed = true;
    if (!row.is_deleted) {
      this->Deliver(row);
    } else if (this->row_versions.erase(row.name.key) != 0) {
      this->listener.OnRemoved(row.name.key);
    }
  }
  this->version = std::max(this->version, batch.version);
  return has_changed;
}

auto TableFollower::Deliver(const StoreRow& row) -> void {
  auto& last = this->row_versions[row.name.key];
  if (row.version <= last) return;
  last = row.version;
  this->listener.OnRow(row);
}

auto TableFollower::SetReachable(bool reachable) -> void {
  if (this->reachable == reachable) return;
  this->reachable = reachable;
  this->listener.OnReachable(reachable);
}

}  // namespace currantbeam
