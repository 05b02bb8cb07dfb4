#pragma once

#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

#include "runtime/runtime.h"
#include "store/store_client.h"

namespace currantbeam {

/// A StoreClient that makes reads which are alike once: a read that begins
/// while one is in flight waits for its response, so that a large one takes up
/// this host's link once. Runs on one loop.
class CallJoiningStore : public StoreClient {
 public:
  CallJoiningStore(StoreClient& store, const Clock& clock)
      : store(store), clock(clock) {}

  /// The result's `age` says how long before this call the response that it
  /// waited for was requested.
  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override {
    return this->store.Write(write);
  }
  [[nodiscard]] auto IsReceiving() const -> bool override {
    return this->store.IsReceiving();
  }

 private:
  /// Table, partition, version and wait of reads that are alike.
  using Key = std::tuple<std::string, std::string, std::optional<StoreVersion>,
                         std::chrono::milliseconds>;
  struct Call {
    TimePoint started_at{};
    std::optional<RowBatch> batch;
    std::exception_ptr error;
    FiberEvent has_ended;
  };

  /// Makes a call, or waits for one that is alike.
  auto Join(const Key& key, const std::function<RowBatch()>& make_call)
      -> RowBatch;
  /// @return whether a call's response is arriving or not yet late.
  [[nodiscard]] auto MayRespond(const Call& call, const Key& key) const -> bool;

  StoreClient& store;
  const Clock& clock;
  std::map<Key, std::shared_ptr<Call>> calls;  ///< In flight.
};

}  // namespace currantbeam
