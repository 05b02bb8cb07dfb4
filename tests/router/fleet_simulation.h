#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "keys/keys.h"
#include "router/router.h"
#include "router/simulated_link.h"
#include "router/store_listeners.h"
#include "store/store.h"

namespace currantbeam {

/// How a host's calls to the store end.
enum class StoreAccess {
  kServed,
  kRejected,  ///< They fail at once.
  kSilent,    ///< They get no response, and fail by their timeout.
  kLossy,     ///< One response in ten is lost.
  kHung,      ///< They neither get a response nor fail.
};

/// Hosts that follow the same store in simulated time: each has the parts of a
/// RouterProcess that bring rows of the store into use, connected to the others
/// by messages that take some milliseconds.
class FleetSimulation {
 public:
  /// @param link_mbps  the bandwidth of each host's link; all are unlimited if
  ///   empty.
  FleetSimulation(int hosts, unsigned seed, std::vector<double> link_mbps = {});
  ~FleetSimulation();

  /// Runs the fleet until the body, in a fiber of it, returns.
  auto Run(const std::function<void()>& body) -> void;
  /// Waits until a coordinator is active and all hosts have its tables.
  auto AwaitStart() -> void;

  auto Put(const std::string& table, const std::string& key,
           const std::string& value) -> void;
  auto Remove(const std::string& table, const std::string& key) -> void;
  /// Restores the store from a copy of its present state, so that versions
  /// known so far are void.
  auto RestoreStore() -> void { this->memory.Restore(this->memory.TakeCopy()); }
  /// @return the index of the active coordinator; -1 if there is none.
  [[nodiscard]] auto Coordinator() const -> int;
  auto SetAccess(int host, StoreAccess access) -> void;
  /// The response to the host's next call to the store is lost.
  auto LoseNextResponse(int host) -> void;
  /// The host reaches neither the store nor the other hosts, until it does
  /// again.
  auto Isolate(int host, bool is_isolated) -> void;
  /// The host sends, receives and does nothing from now on.
  auto Stop(int host) -> void;
  /// The changes so far count as made now, for hosts that don't use them yet.
  auto CountFromNow() -> void;
  /// @return the longest delay from a change of the rows to its use on every
  ///   host that has not been stopped; a change that a host does not use counts
  ///   until now.
  auto LongestDelay() const -> std::chrono::milliseconds;
  /// @return the host and the row of that delay.
  [[nodiscard]] auto LatestUse() const -> std::string;
  [[nodiscard]] auto StoreCalls() const -> int { return this->store_calls; }
  /// @return the bytes that the store has sent to all hosts.
  [[nodiscard]] auto StoreBytes() const -> std::size_t {
    return this->store_link.TotalBytes();
  }
  auto ForgetChanges() -> void { this->changes.clear(); }
  /// From now on, each host sends a request to each server that it may send one
  /// to, ten times a second.
  auto StartRequests() -> void;
  /// Requests wait this long between the choice of their server and the send.
  auto SetSendWait(Duration wait) -> void { this->send_wait = wait; }
  /// The server says from now on that it leaves, also when it is asked. The
  /// store accepts its entry at this time.
  auto Leave(const std::string& server) -> void;
  /// The server's entry is removed, and the server says when it is asked that
  /// it serves.
  auto LeaveSilently(const std::string& server) -> void;
  /// @return how long after the server had said that it leaves the latest
  ///   request was sent to a server.
  [[nodiscard]] auto LatestSend() const -> std::chrono::milliseconds {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        this->latest_send);
  }
  /// @return how many requests the host has sent to the server.
  [[nodiscard]] auto Sends(int host, const std::string& server) const -> int;
  /// @return whether the host uses a backend server, draining or not.
  [[nodiscard]] auto IsKnown(int host, const std::string& server) const -> bool;
  [[nodiscard]] auto Hosts() const -> int {
    return static_cast<int>(this->hosts.size());
  }
  [[nodiscard]] auto Now() const -> TimePoint { return this->clock.Now(); }

 private:
  class Host;
  class Link;
  class Mail;

  /// A change of one row.
  struct Change {
    std::string table;
    std::string key;
    std::string value;  ///< Empty: the row was removed.
    TimePoint written_at{};
    std::map<int, TimePoint> used_at;  ///< By host.
  };
  /// A row in the store's change feed, which keeps each version of it.
  struct WrittenRow {
    std::string table;
    StoreVersion version;
    std::size_t bytes = 0;
  };
  struct Delay {
    Duration length{0};
    int host = -1;
    const Change* change = nullptr;
  };

  auto Start() -> void;
  [[nodiscard]] auto SaysItServes(const std::string& server) const -> bool;
  auto OnSend(int host, const std::string& server) -> void;
  /// The host uses the row with this value; empty if it uses it no longer.
  auto OnUse(int host, const std::string& table, const std::string& key,
             const std::string& value) -> void;
  [[nodiscard]] auto Longest() const -> Delay;
  /// @return the bytes of the store's response with the changes of a table.
  [[nodiscard]] auto FeedBytes(const std::string& table,
                               StoreVersion after) const -> std::size_t;
  /// @return the decoded message; compressed rows are decoded once for all
  /// hosts.
  auto Decode(const TableUpdate& update, const std::string& encoded)
      -> TableUpdate;
  auto FindHost(const std::string& endpoint) -> Host*;

  ManualClock clock;
  MemoryStore memory{this->clock};
  FiberEvent has_changed;
  std::mt19937 random;
  int store_calls = 0;
  SimulatedLink store_link{this->clock, 0};
  std::vector<Change> changes;
  std::vector<WrittenRow> written_rows;
  std::map<std::string, TimePoint> left_at;  ///< By server.
  std::set<std::string> silent;  ///< Servers that left without saying so.
  std::map<std::pair<int, std::string>, int> sends;
  Duration latest_send{0};
  Duration send_wait{0};
  std::map<std::shared_ptr<const std::string>, std::vector<StoreRow>> decoded;
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace currantbeam
