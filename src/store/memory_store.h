#pragma once

#include <map>
#include <optional>
#include <tuple>

#include "store/store_client.h"

namespace currantbeam {

/// A store kept in memory, with the faults that the real one shows, for tests
/// and stand-ins. Follow never waits.
class MemoryStore : public StoreClient {
 public:
  explicit MemoryStore(const Clock& clock) : clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override;

  /// From here on every call fails, or is served again.
  auto SetDown(bool down) -> void { this->down = down; }
  /// The next writes are done, and their answers lost.
  auto LoseAnswers(int count) -> void { this->lost_answers = count; }
  /// Forgets the changes up to now.
  auto DropHistory() -> void { this->history_start = this->version; }
  auto Put(const RowName& name, const std::string& value) -> void;
  auto Remove(const RowName& name) -> void;
  [[nodiscard]] auto Find(const RowName& name) const -> std::optional<StoreRow>;

 private:
  using Place = std::tuple<std::string, std::string, std::string>;
  static auto PlaceOf(const RowName& name) -> Place;
  auto CheckUp() const -> void;
  [[nodiscard]] auto StoreTime() const -> Duration;

  const Clock& clock;
  std::map<Place, StoreRow> rows;  ///< Deleted rows stay, marked.
  StoreVersion version = 0;
  StoreVersion history_start = 0;
  bool down = false;
  int lost_answers = 0;
};

}  // namespace currantbeam
