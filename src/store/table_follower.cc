#include "store/table_follower.h"

#include <algorithm>
#include <set>

namespace currantbeam {

auto TableFollower::Step() -> std::chrono::milliseconds {
  try {
    bool has_changed = true;
    if (this->is_read) {
      has_changed = this->ApplyChanges();
    } else {
      this->ReadAll();
    }
    if (has_changed) this->listener.OnCurrent();
    this->retry = std::chrono::milliseconds(0);
    return has_changed ? this->options.batching : this->retry;
  } catch (const HistoryLost&) {
    this->is_read = false;
    return std::chrono::milliseconds(0);
  } catch (const StoreError&) {
    this->NoteReachable(false);
    this->retry = std::clamp(this->retry * 2, this->options.first_retry,
                             this->options.last_retry);
    return this->retry;
  }
}

auto TableFollower::ReadAll() -> void {
  const auto batch =
      this->store.Read(this->options.table, this->options.partition);
  this->NoteReachable(true);
  std::set<std::string> present;
  for (const auto& row : batch.rows) {
    present.insert(row.name.key);
    this->Deliver(row);
  }
  for (auto it = this->known.begin(); it != this->known.end();) {
    if (present.count(it->first) != 0) {
      ++it;
      continue;
    }
    this->listener.OnRemoved(it->first);
    it = this->known.erase(it);
  }
  this->version = batch.version;
  this->is_read = true;
}

auto TableFollower::ApplyChanges() -> bool {
  // A store that did not answer is not given long, as a call that it never
  // answers would hide that it is back.
  const auto wait =
      this->reachable ? this->options.wait : std::chrono::milliseconds(0);
  const auto batch =
      this->store.Follow(this->options.table, this->version, wait);
  this->NoteReachable(true);
  bool has_changed = false;
  for (const auto& row : batch.rows) {
    if (row.name.partition != this->options.partition) continue;
    has_changed = true;
    if (!row.is_deleted) {
      this->Deliver(row);
    } else if (this->known.erase(row.name.key) != 0) {
      this->listener.OnRemoved(row.name.key);
    }
  }
  this->version = std::max(this->version, batch.version);
  return has_changed;
}

auto TableFollower::Deliver(const StoreRow& row) -> void {
  auto& last = this->known[row.name.key];
  if (row.version <= last) return;
  last = row.version;
  this->listener.OnRow(row);
}

auto TableFollower::NoteReachable(bool reachable) -> void {
  if (this->reachable == reachable) return;
  this->reachable = reachable;
  this->listener.OnReachable(reachable);
}

}  // namespace currantbeam
