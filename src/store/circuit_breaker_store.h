#pragma once

#include <functional>

#include "store/store_client.h"

namespace currantbeam {

/// A StoreClient that sends few calls to a store that fails. After a failed
/// read, further reads fail without a call until a delay has passed; the next
/// one then probes the store. The delay doubles with each failed probe and ends
/// with the first response. Writes are always sent, because a lease has to be
/// renewed as soon as the store accepts it. Runs on one loop.
///
/// All tables share one breaker, so a host makes one call for each delay during
/// an outage, whatever number of tables it follows.
class CircuitBreakerStore : public StoreClient {
 public:
  CircuitBreakerStore(StoreClient& store, const Clock& clock)
      : store(store), clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override;

  /// Sets the longest delay between two probes.
  auto SetMaxDelay(Duration max_delay) -> void { this->max_delay = max_delay; }

 private:
  using Call = std::function<RowBatch()>;

  /// Makes the call unless the breaker is open.
  /// @throws StoreError if the breaker is open or the call fails.
  auto Guard(const Call& call) -> RowBatch;
  [[nodiscard]] auto IsOpen() const -> bool {
    return this->delay != Duration(0);
  }
  auto OnResponse() -> void { this->delay = Duration(0); }
  auto OnFailure() -> void;

  StoreClient& store;
  const Clock& clock;
  /// Longer delays would leave hosts with old routes after an outage.
  Duration max_delay = std::chrono::milliseconds(1500);
  Duration delay{0};  ///< Zero while the breaker is closed.
  TimePoint next_probe_at{};
  bool is_probing = false;
};

}  // namespace currantbeam
