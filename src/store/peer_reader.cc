#include "store/peer_reader.h"

#include <algorithm>

#include "core/events.h"
#include "store/read_race.h"

namespace currantbeam {
namespace {

/// How much longer than the wait a call for changes through another host may
/// take.
constexpr auto kFollowTimeout = std::chrono::milliseconds(300);
constexpr auto kReadTimeout = std::chrono::milliseconds(1000);
constexpr Duration kFollowPatience = std::chrono::milliseconds(150);
/// A whole table takes longer, also from the store to the host that is asked.
constexpr Duration kReadPatience = std::chrono::milliseconds(400);
/// Hosts in a group; several, as the store may reject many hosts.
constexpr std::size_t kHostsAsked = 3;
constexpr int kGroups = 3;
/// Pauses after failures in a row; after the first one, other hosts are asked
/// next, so there is none.
constexpr Duration kMinPause = std::chrono::milliseconds(250);
constexpr Duration kMaxPause = std::chrono::milliseconds(1000);

}  // namespace

auto PeerReader::Read(const std::string& table, const std::string& partition)
    -> RowBatch {
  StoreReadRequest request;
  request.table = table;
  request.partition = partition;
  return this->Ask(request, kReadTimeout, kReadPatience);
}

auto PeerReader::Follow(const std::string& table, StoreVersion after,
                        std::chrono::milliseconds wait) -> RowBatch {
  StoreReadRequest request;
  request.table = table;
  request.after = after;
  request.wait = wait;
  return this->Ask(request, wait + kFollowTimeout, kFollowPatience);
}

auto PeerReader::Ask(const StoreReadRequest& request,
                     std::chrono::milliseconds timeout, Duration patience)
    -> RowBatch {
  if (this->clock.Now() < this->paused_until) {
    throw StoreError("store: other hosts are not asked again yet");
  }
  ReadRace race;
  auto endpoints = std::vector<std::string>{this->last_reader};
  if (this->last_reader.empty()) endpoints = this->hosts.Choose(kHostsAsked);
  auto read = request;
  for (int group = 0; group < kGroups && !race.HasResponse(); ++group) {
    for (const auto& endpoint : endpoints) {
      this->hosts.OnAsked(endpoint);
      race.Start([this, endpoint, read, timeout] {
        return this->AskHost(endpoint, read, timeout);
      });
    }
    race.WaitFor(this->clock, read.wait + patience);
    // The first group has waited for changes already.
    read.wait = std::chrono::milliseconds(0);
    endpoints = this->hosts.Choose(kHostsAsked);
  }
  race.Wait();
  if (!race.HasResponse()) {
    this->PauseAfterFailure();
    throw StoreError("store: not reached through other hosts either");
  }
  this->failures_in_row = 0;
  return race.Take();
}

auto PeerReader::AskHost(const std::string& endpoint,
                         const StoreReadRequest& request,
                         std::chrono::milliseconds timeout) -> RowBatch {
  const auto asked_at = this->clock.Now();
  const auto log = [&](const std::string& outcome) {
    Log(events::kReadThroughPeer,
        {{"table", request.table},
         {"peer", endpoint},
         {"wait_ms", request.wait.count()},
         {"took_ms", Milliseconds(this->clock.Now() - asked_at)},
         {"outcome", outcome}});
  };
  try {
    auto batch = this->link.Send(endpoint, request, timeout);
    batch.is_from_peer = true;
    this->OnRead(endpoint);
    log("read");
    return batch;
  } catch (const HistoryLost&) {
    this->OnRead(endpoint);
    log("history-lost");
    throw;
  } catch (const StoreError& error) {
    if (this->last_reader == endpoint) this->last_reader.clear();
    log(error.what());
    throw;
  }
}

auto PeerReader::OnRead(const std::string& endpoint) -> void {
  this->last_reader = endpoint;
  this->hosts.OnSuccess(endpoint);
}

auto PeerReader::PauseAfterFailure() -> void {
  if (++this->failures_in_row == 1) return;
  this->pause = this->failures_in_row == 2
                    ? kMinPause
                    : std::min<Duration>(2 * this->pause, kMaxPause);
  this->paused_until = this->clock.Now() + this->pause;
}

}  // namespace currantbeam
