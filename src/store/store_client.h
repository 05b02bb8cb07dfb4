#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"
#include "store/store_version.h"

namespace currantbeam {

/// The store was unreachable, refused a call or sent an invalid response.
class StoreError : public Error {
 public:
  using Error::Error;
};

/// A response of the store began, but did not end in time. The store is
/// reachable, and the response is large or the connection slow.
class ResponseCutShort : public StoreError {
 public:
  using StoreError::StoreError;
};

/// The store no longer keeps the changes since the version asked for, or was
/// rolled back since; the table has to be read again.
class HistoryLost : public StoreError {
 public:
  /// @param epoch  the store's epoch, as far as the caller knows it.
  HistoryLost(const std::string& what, StoreEpoch epoch)
      : StoreError(what), epoch(epoch) {}
  /// @return the epoch of the store; versions of other epochs are void.
  [[nodiscard]] auto Epoch() const -> StoreEpoch { return this->epoch; }

 private:
  StoreEpoch epoch;
};

/// Identifies a row. All rows of a transaction are in one partition.
struct RowName {
  std::string table;
  std::string partition;
  std::string key;
};

struct StoreRow {
  RowName name;
  std::string value;  ///< Any bytes.
  StoreVersion version;
  bool is_deleted = false;  ///< Only in change feeds: a tombstone.
  /// The row was written after this time of the store's clock; 0 if unknown.
  Duration written_after{0};
};

/// A precondition of a write: the row has this version, or it does not exist if
/// the version's number is 0.
struct RowCondition {
  RowName name;
  StoreVersion version;
};

/// A transaction: all of its writes take effect, or none.
struct StoreWrite {
  std::vector<RowCondition> conditions;
  std::vector<StoreRow> puts;
  std::vector<RowName> removals;
};

enum class WriteOutcome {
  kWritten,
  kConflict,  ///< A condition was not met; nothing was written.
  kRejected,  ///< The store refused; nothing was written.
  kUnknown,   ///< No response: the write may have taken effect, or may
              ///< later. Also if it took effect in another epoch than that of
              ///< its conditions, which may have held by coincidence.
};

/// The result of a write.
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  StoreVersion version;        ///< If written: the new version of the rows.
  Duration store_time{0};      ///< If the store responded: its clock.
  std::vector<StoreRow> rows;  ///< In a conflict: the current rows.
};

/// Rows of one table, complete up to a version.
struct RowBatch {
  std::vector<StoreRow> rows;
  StoreVersion version;
  Duration store_time{0};     ///< The store's steady clock.
  bool is_from_peer = false;  ///< Another host made the call for this one.
  /// How long the store had answered that host without an interruption; zero if
  /// unknown.
  Duration store_up_for{0};
  /// How long before the call was made the rows may have been read.
  Duration age{0};
  /// The rows are the whole table, in response to a call for changes.
  bool is_whole_table = false;
};

/// How much longer than the wait it asks for a call for changes may take; after
/// that it fails.
constexpr auto kFollowTimeoutMargin = std::chrono::milliseconds(800);

/// A response with rows that has begun fails if it makes no progress for this
/// long. It has no timeout as a whole, as its size and the link decide how long
/// it takes, and it would begin at zero again.
constexpr auto kStallTimeout = std::chrono::milliseconds(500);

/// Reads tables of versioned rows and their changes. Call from a fiber.
class StoreReader {
 public:
  virtual ~StoreReader() = default;

  /// @return a consistent snapshot of the rows of a partition.
  /// @throws StoreError if the call fails.
  virtual auto Read(const std::string& table, const std::string& partition)
      -> RowBatch = 0;
  /// Waits for changes of a table, in all partitions.
  /// @param after  only changes with a higher version are returned.
  /// @param wait  how long the store may delay the response if nothing changed.
  /// @return the changed rows in the order of their versions, including
  ///   tombstones; no rows if nothing changed.
  /// @throws HistoryLost if the store dropped the history after that version,
  ///   is in a later epoch, or has more changes than one response may hold.
  /// @throws StoreError if the call fails.
  virtual auto Follow(const std::string& table, StoreVersion after,
                      std::chrono::milliseconds wait) -> RowBatch = 0;
  /// @return whether a response to any call is arriving. It takes up the link,
  /// so
  ///   the response to another call is not late, however long that takes.
  [[nodiscard]] virtual auto IsReceiving() const -> bool { return false; }
};

/// A client of the store: tables of versioned rows with conditional
/// transactions and change feeds. Call from a fiber.
class StoreClient : public StoreReader {
 public:
  /// Runs a transaction. Never throws: if there is no response, the outcome is
  /// kUnknown.
  virtual auto Write(const StoreWrite& write) -> WriteResult = 0;
};

}  // namespace currantbeam
