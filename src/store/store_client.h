#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// The store was out of reach, refused, or gave an answer that is none.
class StoreError : public Error {
 public:
  using Error::Error;
};

/// The store no longer has the changes that a follower asked for.
class HistoryLost : public StoreError {
 public:
  using StoreError::StoreError;
};

/// Counts the store's transactions; 0 stands for "no such row".
using StoreVersion = std::uint64_t;

/// Where a row lies. Transactions touch rows of one partition.
struct RowName {
  std::string table;
  std::string partition;
  std::string key;
};

struct StoreRow {
  RowName name;
  std::string value;  ///< Any bytes.
  StoreVersion version = 0;
  bool is_deleted = false;  ///< In feeds: the row is gone.
};

/// A condition: the row must have this version.
struct RowCondition {
  RowName name;
  StoreVersion version = 0;
};

/// Writes that take effect together, or not at all.
struct StoreWrite {
  std::vector<RowCondition> conditions;
  std::vector<StoreRow> puts;
  std::vector<RowName> removals;
};

enum class WriteOutcome {
  kWritten,
  kConflict,  ///< A condition did not hold; nothing was written.
  kNotDone,   ///< The store refused; nothing was written.
  kUnknown,   ///< No answer: it may be written already, or still be.
};

/// What a write came to.
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  StoreVersion version = 0;    ///< If written: the rows' new version.
  Duration store_time{0};      ///< If answered: the store's clock.
  std::vector<StoreRow> rows;  ///< In a conflict: the rows as they are.
};

/// Rows of one table and the version as of which they are complete.
struct RowBatch {
  std::vector<StoreRow> rows;
  StoreVersion version = 0;
  Duration store_time{0};  ///< The store's steady clock.
};

/// The store as the system uses it. Call from a fiber.
class StoreClient {
 public:
  virtual ~StoreClient() = default;

  /// @return all rows of a partition as of one moment.
  /// @throws StoreError
  virtual auto Read(const std::string& table, const std::string& partition)
      -> RowBatch = 0;
  /// Waits for changes of a table.
  /// @param after  the version up to which changes are known.
  /// @param wait  how long the store may hold the answer back.
  /// @return the changed rows in order, none if nothing changed.
  /// @throws HistoryLost, StoreError
  virtual auto Follow(const std::string& table, StoreVersion after,
                      std::chrono::milliseconds wait) -> RowBatch = 0;
  /// Writes under conditions; never throws: no answer is kUnknown.
  virtual auto Write(const StoreWrite& write) -> WriteResult = 0;
};

}  // namespace currantbeam
