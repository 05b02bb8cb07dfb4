#pragma once

#include <map>
#include <string>

#include "store/store_client.h"

namespace currantbeam {

/// Told of what a followed table holds.
class TableListener {
 public:
  virtual ~TableListener() = default;
  virtual auto OnRow(const StoreRow& row) -> void = 0;
  virtual auto OnRemoved(const std::string& key) -> void = 0;
  /// The whole table is known as of now; called after each batch.
  virtual auto OnCurrent() -> void = 0;
  /// The store stopped answering, or answers again.
  virtual auto OnReachable(bool reachable) -> void = 0;
};

/// How a table is followed.
struct FollowOptions {
  std::string table;
  std::string partition;
  /// How long the store may hold an answer back while nothing changes.
  std::chrono::milliseconds wait{25000};
  /// Pause after a change, so that changes close to each other come together.
  std::chrono::milliseconds batching{0};
  std::chrono::milliseconds first_retry{100};
  std::chrono::milliseconds last_retry{500};
};

/// Keeps a listener up to date with one table: reads it whole, then follows
/// its changes, and reads it anew where the store has dropped its history.
class TableFollower {
 public:
  TableFollower(StoreClient& store, FollowOptions options,
                TableListener& listener)
      : store(store), options(std::move(options)), listener(listener) {}

  /// Asks the store once and tells the listener what came of it.
  /// @return how long to wait before the next step.
  auto Step() -> std::chrono::milliseconds;

 private:
  auto ReadAll() -> void;
  auto ApplyChanges() -> bool;
  auto Deliver(const StoreRow& row) -> void;
  auto NoteReachable(bool reachable) -> void;

  StoreClient& store;
  FollowOptions options;
  TableListener& listener;
  std::map<std::string, StoreVersion> known;
  StoreVersion version = 0;
  bool is_read = false;
  bool reachable = true;
  std::chrono::milliseconds retry{0};
};

}  // namespace currantbeam
