#pragma once

#include <functional>

#include "store/store_client.h"

namespace currantbeam {

/// A StoreClient that sends few calls to a store that fails. After a failed
/// read, further reads fail without a call until an interval has passed since
/// it was sent; the next one then probes the store. The interval doubles with
/// each failed probe, up to half a second. Writes are always sent, because a
/// lease has to be renewed as soon as the store accepts it. Runs on one loop.
///
/// All tables share one breaker, so a host makes one call in each interval of
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
  [[nodiscard]] auto IsReceiving() const -> bool override {
    return this->store.IsReceiving();
  }

  /// @return the latest time at which the store is known to have been
  ///   unreachable: a read that got no response was sent then, or a read failed
  ///   before its response was due. The zero time point if none failed.
  [[nodiscard]] auto UnreachableAt() const -> TimePoint;

 private:
  using Call = std::function<RowBatch()>;

  /// Makes the call unless the breaker is open.
  /// @param table  named in the log.
  /// @param wait  how long the store may delay its response.
  /// @throws StoreError if the breaker is open or the call fails.
  auto Guard(const Call& call, const std::string& table, Duration wait)
      -> RowBatch;
  [[nodiscard]] auto IsOpen() const -> bool {
    return this->interval != Duration(0);
  }
  auto OnResponse() -> void { this->interval = Duration(0); }
  /// @param sent_at  when the failed call was sent.
  auto OnFailure(TimePoint sent_at) -> void;
  /// @param sent_at  when the failed call was sent.
  /// @param wait  how long the store could delay its response.
  auto OnUnreachable(TimePoint sent_at, Duration wait) -> void;

  StoreClient& store;
  const Clock& clock;
  Duration interval{0};  ///< Zero while the breaker is closed.
  TimePoint next_probe_at{};
  bool is_probing = false;
  TimePoint probe_sent_at{};
  TimePoint unreachable_at{};
};

}  // namespace currantbeam
