#pragma once

#include <functional>
#include <optional>

#include "policy/policy.h"
#include "store/store.h"

namespace currantbeam {

/// Keeps the quarantined requests in a row of the store, so that they survive
/// the end of all hosts. The coordinator's host writes the row when they
/// change; each host reads it once after its start. Runs on one loop.
class QuarantineStore {
 public:
  /// @param store_epoch  returns the latest known epoch of the store.
  QuarantineStore(StoreClient& store, const Clock& clock,
                  RequestQuarantine& quarantine,
                  std::function<StoreEpoch()> store_epoch)
      : store(store),
        clock(clock),
        quarantine(quarantine),
        store_epoch(std::move(store_epoch)) {}

  /// Reads the row unless that has succeeded already.
  auto LoadIfNeeded() -> void;
  /// Writes the row if it is outdated; call on the coordinator's host. After a
  /// rollback of the store, the row is written again.
  auto StoreIfChanged() -> void;

 private:
  /// Adds the entries of the row, less the time since it was written.
  auto Apply(const std::string& value, Duration store_time) -> void;
  auto Write(const QuarantineState& state) -> void;
  /// @return the store's time now, by its last response.
  [[nodiscard]] auto StoreTime() const -> Duration;
  auto SetStoreTime(Duration store_time) -> void;

  StoreClient& store;
  const Clock& clock;
  RequestQuarantine& quarantine;
  std::function<StoreEpoch()> store_epoch;
  bool is_loaded = false;
  Duration store_time{0};  ///< From the last response of the store.
  TimePoint store_time_received_at{};
  /// The version of `quarantine` that was last written; 0 if none was.
  std::uint64_t written_version = 0;
  StoreEpoch written_epoch = 0;
};

}  // namespace currantbeam
