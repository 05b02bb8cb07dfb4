#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/table_update.h"

namespace currantbeam {

/// Maximum age of the copy while the store need not be read. Changes have to be
/// in force within two seconds after they were acknowledged.
constexpr auto kMaxUpdateAge = std::chrono::milliseconds(1200);

/// This host's copy of one table of the store, read from the store or received
/// from the leader, another host that follows the table. Decides whether the
/// updates received are recent enough that the store need not be read, and
/// makes the updates that this host sends to others while it is the leader.
class RelayedTable {
 public:
  explicit RelayedTable(std::string table) : table(std::move(table)) {}

  /// Replaces the copy with the whole table. Rows that are gone count as
  /// deleted, so that hosts with an older copy still need only the changes.
  /// @param as_of  the rows are those of the store at this time or later.
  auto OnRead(const RowBatch& batch, TimePoint as_of) -> void;
  /// Applies the changes since the copy's version.
  /// @param as_of  the rows are those of the store at this time or later.
  auto OnFollowed(const RowBatch& batch, TimePoint as_of) -> void;
  /// Keeps an update from another host until it is taken. Updates older than a
  /// version that this copy has had are ignored.
  /// @param requested_at  when this host sent the request for the update.
  auto OnUpdate(TableUpdate update, TimePoint requested_at) -> void;

  /// Applies the pending update.
  /// @return the whole table; empty if there is no pending update that makes
  ///   the copy complete, or the latest one received is too old.
  auto TakeTable(TimePoint now) -> std::optional<RowBatch>;
  /// Applies the pending update of changes.
  /// @param after  only rows with a higher version are returned.
  /// @return the changed rows; empty if there are none, or no pending update of
  ///   changes.
  auto TakeChanges(StoreVersion after) -> std::optional<RowBatch>;
  /// Marks the copy as unknown until the whole table is received. A pending
  /// update is discarded unless it is a snapshot.
  auto Invalidate() -> void;

  /// @return whether a snapshot was received that TakeTable() has not applied.
  [[nodiscard]] auto HasPendingSnapshot() const -> bool {
    return this->update && this->update->is_full;
  }
  /// @return until when the store need not be read; the zero time point if the
  ///   copy is unknown or has to be replaced by a pending snapshot.
  [[nodiscard]] auto FreshUntil() const -> TimePoint;
  /// @return the version of the copy; its number is 0 if the copy is unknown.
  [[nodiscard]] auto Version() const -> StoreVersion { return this->version; }
  /// @return the latest time as of which the copy is known to be up to date.
  [[nodiscard]] auto AsOf() const -> TimePoint {
    const bool is_behind = this->update && !this->update->rows.empty();
    return is_behind ? this->as_of : std::max(this->as_of, this->relayed_as_of);
  }
  /// @return a hash of the copy's rows; the same for all copies of one version.
  [[nodiscard]] auto Digest() const -> std::uint32_t { return this->digest; }
  /// @return the highest version that the copy has had; number 0 if none.
  [[nodiscard]] auto LastVersion() const -> StoreVersion { return this->floor; }
  /// @param after  the version of the receiving host's copy; number 0 if it has
  ///   none.
  /// @return the rows with a higher version, or a snapshot if that version is
  /// of
  ///   an earlier epoch or the deletions since are no longer kept; empty if
  ///   this copy is unknown.
  [[nodiscard]] auto UpdateSince(StoreVersion after, TimePoint now) const
      -> std::optional<TableUpdate>;
  /// @return that update without its rows.
  [[nodiscard]] auto HeaderSince(StoreVersion after, TimePoint now) const
      -> std::optional<TableUpdate>;
  /// @return the rows of that update, once for all updates from the same
  /// version
  ///   to the same version.
  auto CompressedRowsSince(StoreVersion after)
      -> std::shared_ptr<const std::string>;
  /// @return the size of the rows of that update, as far as their values make
  ///   it up.
  [[nodiscard]] auto BytesSince(StoreVersion after) const -> std::size_t;

 private:
  /// @return the rows of an update from this version, or of a snapshot.
  [[nodiscard]] auto RowsSince(StoreVersion after) const
      -> std::vector<const StoreRow*>;
  auto Replace(const RowBatch& batch) -> void;
  /// @return whether the changes since this version are known.
  [[nodiscard]] auto HasHistorySince(StoreVersion after) const -> bool;
  /// Records that the changes after `last`, up to `next`, are not known: rows
  /// may have been added and deleted.
  auto AddGap(StoreVersion last, StoreVersion next) -> void;
  /// Marks the rows of the copy that the whole table lacks as deleted.
  auto DeleteMissingRows(const RowBatch& whole_table) -> void;
  /// @return the whole table, without tombstones.
  [[nodiscard]] auto LiveRows() const -> RowBatch;
  auto Merge(const RowBatch& batch) -> void;
  /// Discards the pending update if the copy has had a higher version.
  auto DropStaleUpdate() -> void;
  /// Drops the older half of the tombstones if there are too many.
  auto DropOldTombstones() -> void;

  std::string table;
  std::map<std::string, StoreRow> rows;  ///< By key; includes tombstones.
  std::uint32_t digest = 0;  ///< The exclusive or of the hashes of the rows.
  /// A step of the copy from one version to another without the changes
  /// between.
  struct Gap {
    StoreVersion last;
    StoreVersion next;
  };

  /// Tombstones of all deletions after this version are kept, but for those in
  /// the gaps.
  StoreVersion history_start;
  std::vector<Gap> gaps;  ///< After `history_start`, in their order.
  StoreVersion version;   ///< Number 0 while the copy is unknown.
  StoreVersion floor;     ///< Highest version ever; older updates are ignored.
  TimePoint as_of{};
  /// Compressed rows of updates to `version`, by the version that they are
  /// from.
  std::map<StoreVersion, std::shared_ptr<const std::string>> compressed_rows;
  StoreVersion compressed_version;    ///< Of the copy for `compressed_rows`.
  std::optional<TableUpdate> update;  ///< Received but not yet applied.
  TimePoint relayed_as_of{};  ///< Like `as_of`, by the updates received.
};

}  // namespace currantbeam
