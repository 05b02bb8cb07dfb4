#pragma once

#include <deque>
#include <set>
#include <string>
#include <vector>

#include "store/store.h"

namespace currantbeam {

/// Keeps copies of a MemoryStore, so that the store can be restored to an
/// earlier time. The rows of some tables have writers outside the system, which
/// write them again after a restore.
class StoreBackup {
 public:
  /// @param rewritten_tables  whose rows are written again after a restore.
  StoreBackup(MemoryStore& store, const Clock& clock,
              std::set<std::string> rewritten_tables)
      : store(store),
        clock(clock),
        rewritten_tables(std::move(rewritten_tables)) {}

  /// Call before each write of the store.
  auto BeforeWrite() -> void;
  /// Restores the store to what it held at a time, with a resolution of 100 ms
  /// and at most 30 s back.
  /// @param rewrite_delay  after which the newest rows and removals of the
  ///   rewritten tables that the restore took back are written again, in the
  ///   order of their lost versions. Rows written meanwhile are left as they
  ///   are.
  auto RestoreTo(TimePoint time, Duration rewrite_delay) -> void;
  /// Like RestoreTo(), from the given copy.
  auto Restore(const MemoryStore::Copy& copy, Duration rewrite_delay) -> void;
  /// Writes rows again whose delay has elapsed. Call before each use of the
  /// store.
  auto RewriteIfDue() -> void;

 private:
  struct TimedCopy {
    TimePoint taken_at{};
    MemoryStore::Copy copy;
  };

  /// Discards rows to write again that were written since the last restore.
  auto DropOverwrittenRows() -> void;
  auto CollectLostRows(const MemoryStore::Copy& copy) -> void;

  MemoryStore& store;
  const Clock& clock;
  std::set<std::string> rewritten_tables;
  std::deque<TimedCopy> copies;
  std::vector<StoreRow> lost_rows;     ///< To be written again, in this order.
  std::uint64_t restored_version = 0;  ///< Number of the last transaction.
  TimePoint rewrite_at{};
};

}  // namespace currantbeam
