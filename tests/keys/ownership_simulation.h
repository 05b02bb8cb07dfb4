#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "keys/keys.h"
#include "store/store.h"

namespace currantbeam {

/// A fault in an OwnershipSimulation, from one step to another.
struct OwnerFault {
  enum class Kind {
    kHostFreeze,    ///< A host stands still; what it sent arrives.
    kHostRestart,   ///< A host loses all it knew.
    kStoreCut,      ///< A host does not reach the store.
    kStoreDown,     ///< No host does.
    kLostAnswers,   ///< Writes are done and not answered.
    kLateWrites,    ///< Writes are done seconds later, if they still hold.
    kServerCrash,   ///< A server is down, and comes back empty.
    kServerSilent,  ///< Calls to a server get lost; it goes on.
    kServerLeaves,  ///< A server's entry goes; it goes on serving.
    kLateOrders,    ///< Calls are not answered and carried out later.
    kLast = kLateOrders,
  };
  Kind kind = Kind::kHostFreeze;
  int which = 0;
  int start = 0;
  int length = 0;
};

/// Hosts that keep the owners of one service's keys, its servers and the
/// store, on one fake clock. Checks at each step that no stripe is held by
/// two servers, and that fencing tokens rise from server to server.
class OwnershipSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr int kStripes = 4;
  static constexpr int kServers = 3;
  /// From a server's start until its entry tells of it.
  static constexpr int kEntryLagSteps = 25;
  /// From a server's end until its entry is gone.
  static constexpr int kEntryLapseSteps = 50;
  /// A server is down for at least a second.
  static constexpr int kLeastDownSteps = 20;
  static constexpr int kHosts = 3;

  explicit OwnershipSimulation(unsigned seed);
  ~OwnershipSimulation();

  auto Run(const std::vector<OwnerFault>& faults, int steps) -> void;
  /// Runs without faults until every stripe is held.
  /// @return the steps it took; -1 if it took more than `most`.
  auto Settle(int most) -> int;
  [[nodiscard]] auto Violation() const -> const std::string& {
    return this->violation;
  }

 private:
  class HostStore;
  struct Host;
  struct Hold {
    FencingToken token = 0;
    FencingToken seen = 0;
    TimePoint until{};
  };
  struct Server {
    KeyOwner owner;
    KeyOwner registered;  ///< The life that its entry tells of.
    int restarted_at = -1;
    bool is_up = true;
    bool is_silent = false;
    bool is_registered = true;
    std::vector<Hold> holds{kStripes};
  };
  struct Call {
    int host = 0;
    int life = 0;  ///< Of the host.
    KeyCommand command;
    std::chrono::milliseconds server_life{0};  ///< That it connected to.
    TimePoint arrives{};
    TimePoint carried_out{};
    bool is_answered = true;
  };

  auto Step(const std::vector<OwnerFault>& faults) -> void;
  auto ApplyFaults(const std::vector<OwnerFault>& faults) -> void;
  auto SetUp(Server& server, bool is_up) -> void;
  auto StepHost(int index) -> void;
  auto CallServers(int index) -> void;
  /// Goes on with calls to servers while the host waits for the store.
  auto CallMeanwhile(int index) -> void;
  auto Send(int host, const KeyCommand& command) -> void;
  auto DeliverCalls() -> void;
  auto CarryOut(const Call& call, Server& server) -> void;
  auto Reply(const Call& call, GrantReply grant, const ReleaseReply& release)
      -> void;
  auto ServerOf(const KeyOwner& owner) -> Server*;
  auto CheckHolds() -> void;
  [[nodiscard]] auto HeldStripes() const -> int;
  [[nodiscard]] auto Chance(double chance) -> bool;

  ManualClock clock;
  MemoryStore store;
  std::mt19937 random;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Server> servers;
  std::deque<Call> calls;
  std::map<int, std::pair<KeyOwner, FencingToken>> last_taken;
  std::string violation;
  int step = 0;
  bool orders_late = false;
};

}  // namespace currantbeam
