#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "store/store_client.h"

namespace currantbeam {

/// A StoreClient that keeps its rows in memory and simulates faults of the real
/// store, for tests and stand-ins. Follow() never waits.
class MemoryStore : public StoreClient {
 public:
  /// Table, partition and key.
  using RowId = std::tuple<std::string, std::string, std::string>;
  /// All that the store holds at one time.
  struct Copy {
    std::map<RowId, StoreRow> rows;  ///< Includes tombstones.
    StoreVersion version;
    StoreVersion history_start;
  };

  explicit MemoryStore(const Clock& clock) : clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override;

  /// Sets whether calls fail: Read() and Follow() throw, and Write() returns
  /// kUnknown.
  auto SetDown(bool down) -> void { this->down = down; }
  /// The next `count` successful writes take effect but return kUnknown.
  auto DropResponses(int count) -> void { this->responses_to_drop = count; }
  /// Drops the history: Follow() from an earlier version throws HistoryLost.
  auto DropHistory() -> void {
    this->state.history_start = this->state.version;
  }
  [[nodiscard]] auto TakeCopy() const -> Copy { return this->state; }
  /// Rolls the store back to a copy: rows written since then are gone, and
  /// their versions are assigned again.
  auto Restore(const Copy& copy) -> void;
  /// @return the number of restores so far.
  [[nodiscard]] auto Epoch() const -> StoreEpoch {
    return this->state.version.epoch;
  }
  auto Put(const RowName& name, const std::string& value) -> void;
  auto Remove(const RowName& name) -> void;
  /// @return the row; empty if it does not exist or was deleted.
  [[nodiscard]] auto Find(const RowName& name) const -> std::optional<StoreRow>;

 private:
  static auto IdOf(const RowName& name) -> RowId;
  auto CheckAvailable() const -> void;
  [[nodiscard]] auto StoreTime() const -> Duration;

  const Clock& clock;
  Copy state;
  bool down = false;
  int responses_to_drop = 0;
};

}  // namespace currantbeam
