#pragma once

#include <map>
#include <string>

#include "store/store_client.h"

namespace currantbeam {

/// Receives the rows of a table from a TableFollower.
class TableListener {
 public:
  virtual ~TableListener() = default;
  /// The row was added or changed.
  virtual auto OnRow(const StoreRow& row) -> void = 0;
  /// The row with this key was removed.
  virtual auto OnRemoved(const std::string& key) -> void = 0;
  /// All rows of a snapshot or of a batch of changes have been delivered.
  virtual auto OnSynced() -> void = 0;
  /// The store became unreachable or reachable. Reachability is reported before
  /// the rows that the store returns.
  virtual auto OnReachable(bool reachable) -> void = 0;
  /// The store was restored from an older copy and lost its latest changes.
  /// Reported before the rows of the snapshot that follows; OnSynced() marks
  /// the end of that snapshot.
  virtual auto OnRollback() -> void {}
};

/// Which table a TableFollower follows, and its timing.
struct FollowOptions {
  std::string table;
  std::string partition;
  /// How long the store may delay its response while nothing changes.
  std::chrono::milliseconds wait{25000};
  /// Delay after a change, so that changes in quick succession form one batch.
  std::chrono::milliseconds batch_delay{0};
  std::chrono::milliseconds min_retry_delay{100};
  std::chrono::milliseconds max_retry_delay{100};
};

/// Keeps a TableListener up to date with one partition of a table: reads a
/// snapshot, then follows the changes, and reads a new snapshot if the store
/// has dropped the history needed. Failed calls are retried with exponential
/// backoff.
class TableFollower {
 public:
  TableFollower(StoreClient& store, FollowOptions options,
                TableListener& listener)
      : store(store), options(std::move(options)), listener(listener) {}

  /// Calls the store once and notifies the listener of the result.
  /// @return how long to wait before the next call of Step().
  auto Step() -> std::chrono::milliseconds;

 private:
  auto ReadAll() -> void;
  auto ApplyChanges() -> bool;
  /// Notifies the listener if a snapshot is of a later epoch than the last
  /// version.
  auto ReportRollback(StoreVersion current) -> void;
  auto Deliver(const StoreRow& row) -> void;
  auto SetReachable(bool reachable) -> void;

  StoreClient& store;
  FollowOptions options;
  TableListener& listener;
  std::map<std::string, StoreVersion> row_versions;  ///< By key.
  StoreVersion version;
  bool has_snapshot = false;
  bool reachable = true;
  std::chrono::milliseconds retry_delay{0};
};

}  // namespace currantbeam
