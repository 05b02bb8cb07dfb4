#include "store/peer_backed_store.h"

#include <utility>

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

/// How much longer than the wait it asks for a call for changes may take before
/// other hosts are asked.
constexpr Duration kFollowPatience = milliseconds(200);
/// The same for a read of a whole table, which takes longer to receive.
constexpr Duration kReadPatience = milliseconds(400);
/// While a call to the store is in flight, the other hosts are asked again
/// after this.
constexpr Duration kRetryInterval = milliseconds(100);
constexpr auto kNoWait = milliseconds(0);

/// Starts a call and sets a flag when it has ended.
auto StartWithFlag(ReadRace& race, ReadRace::Call call)
    -> std::shared_ptr<bool> {
  auto is_done = std::make_shared<bool>(false);
  race.Start([is_done, call = std::move(call)] {
    try {
      auto batch = call();
      *is_done = true;
      return batch;
    } catch (const StoreError&) {
      *is_done = true;
      throw;
    }
  });
  return is_done;
}

}  // namespace

auto PeerBackedStore::Read(const std::string& table,
                           const std::string& partition) -> RowBatch {
  return this->FirstResponse(
      [this, table, partition](milliseconds /*wait*/) {
        return this->store.Read(table, partition);
      },
      [this, table, partition](milliseconds /*wait*/) {
        return this->peers.Read(table, partition);
      },
      kNoWait, kReadPatience, true);
}

auto PeerBackedStore::Follow(const std::string& table, StoreVersion after,
                             std::chrono::milliseconds wait) -> RowBatch {
  return this->FirstResponse(
      [this, table, after](milliseconds max_wait) {
        return this->store.Follow(table, after, max_wait);
      },
      [this, table, after](milliseconds max_wait) {
        return this->peers.Follow(table, after, max_wait);
      },
      wait, kFollowPatience, false);
}

auto PeerBackedStore::FirstResponse(const ReadCall& from_store,
                                    const ReadCall& from_peers,
                                    milliseconds wait, Duration patience,
                                    bool is_whole_table) -> RowBatch {
  const bool is_in_doubt = this->IsInDoubt();
  ReadRace race;
  const auto first_call = this->StartFirstCall(
      race, [from_store, wait] { return from_store(wait); });
  // A whole table is large, so it is asked for in several ways only if the
  // store is late.
  const bool asks_at_once = is_in_doubt && !is_whole_table;
  race.WaitFor(this->clock, asks_at_once ? Duration(0) : wait + patience);
  while (!race.IsOver() && this->store.IsReceiving()) {
    race.WaitFor(this->clock, kRetryInterval);
  }
  if (race.HasResponse() || first_call->is_cut_short) return race.Take();
  if (!first_call->is_done) {
    first_call->is_late = true;
    ++this->state->late_calls;
  }
  const auto ask_peers = [&](milliseconds max_wait) {
    return StartWithFlag(
        race, [from_peers, max_wait] { return from_peers(max_wait); });
  };
  // After a call that is late, the wait is over.
  auto peers_done = ask_peers(is_in_doubt ? wait : kNoWait);
  bool has_retried = false;
  while (true) {
    race.WaitFor(this->clock, kRetryInterval);
    if (race.IsOver()) return race.Take();
    if (!*peers_done || first_call->is_done) continue;
    if (!has_retried) race.Start([from_store] { return from_store(kNoWait); });
    has_retried = true;
    peers_done = ask_peers(kNoWait);
  }
}

auto PeerBackedStore::StartFirstCall(ReadRace& race, ReadRace::Call from_store)
    -> std::shared_ptr<FirstCall> {
  auto call = std::make_shared<FirstCall>();
  race.Start([call, state = this->state, from_store = std::move(from_store)] {
    const auto finish = [&](bool has_responded) {
      call->is_done = true;
      if (call->is_late) --state->late_calls;
      state->has_failed = !has_responded;
    };
    try {
      auto batch = from_store();
      finish(true);
      return batch;
    } catch (const HistoryLost&) {
      finish(true);
      throw;
    } catch (const ResponseCutShort&) {
      call->is_cut_short = true;
      finish(true);
      throw;
    } catch (const StoreError&) {
      finish(false);
      throw;
    }
  });
  return call;
}

}  // namespace currantbeam
