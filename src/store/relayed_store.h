#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "store/copy_fetcher.h"
#include "store/relayed_table.h"
#include "store/row_delays.h"
#include "store/store_client.h"
#include "store/store_clock.h"
#include "store/store_continuity.h"

namespace currantbeam {

/// What a host sends another one whose copies are older.
struct TableUpdates {
  std::vector<TableUpdate> updates;
  /// Of tables whose changes are large.
  std::vector<TableAnnouncement> announcements;
};

/// A StoreClient that reduces reads of the store: the leader, one of the hosts,
/// follows the shared tables in the store and sends updates to the other hosts.
/// Those read the store themselves only while they have no recent update from
/// the leader. Large changes are announced to them, and they fetch them. Calls
/// for other tables, and writes, are passed on. Runs on one loop.
class RelayedStore : public StoreClient {
 public:
  /// @param tables  the names of the shared tables.
  /// @param election_timeout  how long after its start this host expects a
  ///   leader to be elected. Until then it waits for table snapshots from the
  ///   leader, and doesn't read the store itself.
  /// @param fetcher  fetches announced changes; null if none are announced.
  RelayedStore(StoreClient& store, const Clock& clock,
               const std::vector<std::string>& tables,
               Duration election_timeout, CopyFetcher* fetcher = nullptr);

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override;

  /// Sets whether this host follows the shared tables for the other hosts.
  auto SetLeader(bool is_leader) -> void { this->is_leader = is_leader; }
  /// @return the version of this host's copy of each shared table; 0 if it is
  ///   unknown.
  [[nodiscard]] auto Versions() const -> std::map<std::string, StoreVersion>;
  /// @return what this host knows of the shared table.
  [[nodiscard]] auto Status(const std::string& table) const -> TableStatus;
  /// @return since when the store is known to have answered without an
  ///   interruption, here or on the hosts that updates came from; nothing if it
  ///   has not answered yet.
  [[nodiscard]] auto StoreUpSince() const -> std::optional<TimePoint> {
    return this->continuity.UpSince();
  }
  /// @return how long it has answered without an interruption; zero if that is
  ///   unknown.
  [[nodiscard]] auto StoreUpFor() const -> Duration {
    return this->continuity.UpFor(this->clock.Now());
  }
  /// @return the delays of the rows that this host has received.
  [[nodiscard]] auto Delays() const -> const RowDelays& { return this->delays; }
  /// @param versions  of the copies of another host, by table.
  /// @return the updates that bring those copies to this host's versions.
  ///   Tables that are unknown here are left out.
  [[nodiscard]] auto UpdatesSince(
      const std::map<std::string, StoreVersion>& versions) const
      -> std::vector<TableUpdate>;
  /// The same, with announcements in place of large updates.
  [[nodiscard]] auto SmallUpdatesSince(
      const std::map<std::string, StoreVersion>& versions) const
      -> TableUpdates;
  /// @return what brings a copy of the shared table from this version to that
  ///   of this host's copy, compressed if it is large; nothing if the rows are
  ///   the same.
  auto CopySince(const std::string& table, StoreVersion after)
      -> std::optional<TableUpdate>;
  /// Accepts updates from the leader.
  /// @param requested_at  when this host sent the request for them.
  auto OnUpdates(std::vector<TableUpdate> updates, TimePoint requested_at)
      -> void;
  /// Accepts announcements from the leader.
  /// @param announced_by  the leader's ADDRESS:PORT.
  auto OnAnnouncements(const std::vector<TableAnnouncement>& announcements,
                       const std::string& announced_by) -> void;

 protected:
  /// Waits until an update of a shared table arrives, at most `max_wait`.
  virtual auto AwaitUpdate(const std::string& table, Duration max_wait) -> void;

 private:
  struct SharedTable {
    RelayedTable table;
    FiberEvent has_update;
    /// The earliest time of the next poll, unless this host is the leader.
    TimePoint next_poll_at{};
    RowSource source = RowSource::kNone;  ///< Of the latest rows.
    TimePoint failed_at{};  ///< When the last call that failed was sent.
    std::optional<TableAnnouncement> announcement;  ///< Not yet acted on.
    std::string announced_by;
  };

  /// Fetches what was announced, if it is newer than the copy.
  /// @return whether there is an update to apply.
  auto FetchAnnounced(SharedTable& shared) -> bool;
  /// Adds what the receiver needs to know of this host's clocks.
  auto AddStoreTimes(TableUpdate& update) const -> void;
  auto ReadDirectly(SharedTable& shared, const std::string& table) -> RowBatch;
  auto FollowDirectly(SharedTable& shared, const std::string& table,
                      StoreVersion after, std::chrono::milliseconds wait)
      -> RowBatch;
  /// Records how and how late rows were received that this host did not have.
  /// @param last_version  of the copy before; number 0 if there was none.
  auto OnReceived(SharedTable& shared, const std::string& table,
                  const RowBatch& batch, RowSource source,
                  StoreVersion last_version) -> void;
  /// @return how long a call for changes may wait for them.
  [[nodiscard]] auto MaxWait(const SharedTable& shared) const
      -> std::chrono::milliseconds;

  StoreClient& store;
  const Clock& clock;
  std::map<std::string, SharedTable> tables;
  TimePoint election_deadline;
  CopyFetcher* fetcher;
  bool is_leader = false;
  StoreClock store_clock;
  StoreContinuity continuity;
  RowDelays delays;
};

}  // namespace currantbeam
