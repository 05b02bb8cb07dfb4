#pragma once

#include <functional>
#include <memory>

#include "store/read_race.h"
#include "store/store_client.h"

namespace currantbeam {

/// A StoreClient whose reads don't depend on this host's connection to the
/// store. A read that the store has not answered in time is made by other hosts
/// as well, and the first response counts. While the store is late or fails,
/// the other hosts are asked at once. A response that is arriving is waited
/// for, as a second copy of a large one would take its bandwidth. Writes always
/// go to the store, since a write that got no response may still take effect.
/// Runs on one loop.
class PeerBackedStore : public StoreClient {
 public:
  /// @param store  fails at once while it is not to be called.
  /// @param peers  reads the store through other hosts.
  PeerBackedStore(StoreClient& store, StoreReader& peers, const Clock& clock)
      : store(store), peers(peers), clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override {
    return this->store.Write(write);
  }

 private:
  /// A read that may wait for changes for the time given.
  using ReadCall = std::function<RowBatch(std::chrono::milliseconds)>;
  /// The first call of a read to the store.
  struct FirstCall {
    bool is_done = false;
    bool is_late = false;
    bool is_cut_short = false;
  };

  /// @param wait  how long the call may wait for changes.
  /// @param patience  how much longer the store may take to respond before the
  ///   other hosts are asked, too.
  auto FirstResponse(const ReadCall& from_store, const ReadCall& from_peers,
                     std::chrono::milliseconds wait, Duration patience,
                     bool is_whole_table) -> RowBatch;
  auto StartFirstCall(ReadRace& race, ReadRace::Call from_store)
      -> std::shared_ptr<FirstCall>;
  /// @return whether the store is late, or failed at the last call.
  [[nodiscard]] auto IsInDoubt() const -> bool {
    return this->state->late_calls != 0 || this->state->has_failed;
  }

  /// Shared with calls that are in flight.
  struct State {
    int late_calls = 0;       ///< Calls in flight beyond the patience.
    bool has_failed = false;  ///< Whether the last call to the store failed.
  };

  StoreClient& store;
  StoreReader& peers;
  const Clock& clock;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace currantbeam
