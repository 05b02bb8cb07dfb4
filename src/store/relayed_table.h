#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "store/table_update.h"

namespace currantbeam {

/// What this host knows of one table, from the store or from another host that
/// follows it, so that it can tell yet others. Decides when what is heard from
/// the other host is new enough for the store not to be asked.
class RelayedTable {
 public:
  explicit RelayedTable(std::string table) : table(std::move(table)) {}

  /// The store told the whole table.
  /// @param as_of  a time at which the table was as told, or later.
  auto OnRead(const RowBatch& batch, TimePoint as_of) -> void;
  /// The store told what changed since the last time.
  auto OnFollowed(const RowBatch& batch, TimePoint as_of) -> void;
  /// Another host told what this one asked for.
  /// @param asked  when it was asked.
  auto OnNews(TableUpdate news, TimePoint asked) -> void;

  /// @return the whole table, if another host has told it, as it was not long
  ///   ago.
  auto TakeWhole(TimePoint now) -> std::optional<RowBatch>;
  /// @return what another host told of changes, if there are any.
  /// @param after  the version up to which they are known.
  auto TakeChanges(StoreVersion after) -> std::optional<RowBatch>;
  /// The whole table is needed, whatever was known of it.
  auto Forget() -> void;

  /// @return until when the store need not be asked.
  [[nodiscard]] auto FreshUntil() const -> TimePoint;
  /// @return the version up to which the table is known here; 0 if it is not.
  [[nodiscard]] auto Version() const -> StoreVersion { return this->version; }
  /// @return when the table was last seen to be as it is known here.
  [[nodiscard]] auto AsOf() const -> TimePoint {
    return std::max(this->as_of, this->heard_as_of);
  }
  /// @return what a host that knows the table up to a version is told; nothing
  ///   while this host does not know the table.
  [[nodiscard]] auto NewsSince(StoreVersion after, TimePoint now) const
      -> std::optional<TableUpdate>;

 private:
  auto Replace(const RowBatch& batch) -> void;
  auto Merge(const RowBatch& batch) -> void;
  /// Drops what was heard before the store told more.
  auto NoteVersion() -> void;
  auto DropOldDeletions() -> void;

  std::string table;
  std::map<std::string, StoreRow> rows;  ///< By key; deleted ones are marked.
  StoreVersion base = 0;     ///< Deletions are known from this version on.
  StoreVersion version = 0;  ///< 0 while the whole table is needed.
  StoreVersion newest = 0;   ///< The highest that was ever known here.
  TimePoint as_of{};
  std::optional<TableUpdate> news;  ///< Heard, and not taken up yet.
  TimePoint heard_as_of{};
};

}  // namespace currantbeam
