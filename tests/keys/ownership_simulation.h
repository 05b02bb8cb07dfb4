#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "keys/keys.h"
#include "store/store.h"

namespace currantbeam {

/// A fault of an OwnershipSimulation.
struct OwnerFault {
  enum class Kind {
    kHostFreeze,          ///< A host is suspended; its calls still arrive.
    kHostRestart,         ///< A host restarts without its state.
    kStoreCut,            ///< One host cannot reach the store.
    kStoreDown,           ///< No host can reach the store.
    kLostResponses,       ///< Writes are made; their responses are lost.
    kDelayedWrites,       ///< Writes are made 2 s later, if still valid.
    kServerCrash,         ///< A server ends and restarts without its grants.
    kServerUnresponsive,  ///< Calls to a server are lost; it serves on.
    kServerLeaves,        ///< A server's registration ends; it serves on.
    kDelayedCalls,        ///< Calls get no response and are executed later.
    kStoreRestored,       ///< The store is down and returns from a copy.
    kLast = kStoreRestored,
  };
  Kind kind = Kind::kHostFreeze;
  /// Index of the host or server, modulo their number; for kStoreRestored it
  /// selects the age of the copy.
  int target = 0;
  int start = 0;   ///< First step.
  int length = 0;  ///< Number of steps.
};

/// @return how long before the store went down the copy was taken from which
///   it is restored: 1 to 9 s, another one for each target from 0 to 8.
auto CopyAgeOf(const OwnerFault& fault) -> Duration;

/// Simulates hosts that coordinate one service's keys, the service's servers
/// and the store, on one manual clock. Checks at each step that no stripe has
/// two holders, and that each new owner of a stripe has a higher fencing token.
class OwnershipSimulation {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(50);
  static constexpr int kStripes = 4;
  static constexpr int kServers = 3;
  /// From a server's start until its registration shows the new process.
  static constexpr int kRegistrationLagSteps = 25;
  /// From a server's end until its registration expires.
  static constexpr int kRegistrationExpirySteps = 50;
  /// A server that ends stays down for at least 100 ms.
  static constexpr int kMinDownSteps = 2;
  static constexpr int kHosts = 3;

  explicit OwnershipSimulation(unsigned seed);
  ~OwnershipSimulation();

  auto Run(const std::vector<OwnerFault>& faults, int steps) -> void;
  /// Runs without faults until every stripe has a holder.
  /// @return the number of steps; -1 after a violation, or if max_steps were
  ///   not enough.
  auto RunUntilAllHeld(int max_steps) -> int;
  [[nodiscard]] auto Violation() const -> const std::string& {
    return this->violation;
  }

 private:
  class HostStore;
  struct Host;
  struct ServerGrant {
    FencingToken token = 0;
    FencingToken highest_token = 0;
    TimePoint expires_at{};
  };
  struct Server {
    KeyOwner owner;
    KeyOwner registered;  ///< The process that its registration shows.
    int restarted_at = -1;
    bool is_up = true;
    bool is_unresponsive = false;
    bool is_registered = true;
    std::vector<ServerGrant> grants{kStripes};
  };
  /// A connection of a host to a server. It leads to one process of the server.
  struct Connection {
    ConnectionNumber number = 0;
    std::chrono::milliseconds server_started{0};
  };
  struct Call {
    int host = 0;
    int incarnation = 0;  ///< Of the host.
    KeyCommand command;
    ConnectionNumber newest_connection = 0;  ///< When it was sent.
    std::chrono::milliseconds server_started{
        0};  ///< Of the process that the call was sent to.
    TimePoint arrives_at{};
    TimePoint executed_at{};
    bool has_response = true;
  };

  auto Step(const std::vector<OwnerFault>& faults) -> void;
  auto ApplyFaults(const std::vector<OwnerFault>& faults) -> void;
  auto RestoreStore(const OwnerFault& fault) -> void;
  auto SetUp(Server& server, bool is_up) -> void;
  auto StepHost(int index) -> void;
  auto CallServers(int index) -> void;
  /// Delivers and sends calls to servers while the host waits for the store.
  auto RunDuringStoreCall(int index) -> void;
  auto Send(int host, KeyCommand command) -> void;
  /// @return the connection that a call is sent over, which is new if the call
  ///   permits that and none is open.
  auto ChooseConnection(Host& host, const Server& server,
                        const KeyCommand& command) -> std::optional<Connection>;
  /// Opens and closes connections, as a host does for its other calls, and
  /// closes those whose server process has ended.
  auto UpdateConnections(Host& host) -> void;
  auto DeliverCalls() -> void;
  auto Execute(const Call& call, Server& server) -> void;
  auto Reply(const Call& call, GrantReply grant, const ReleaseReply& release)
      -> void;
  auto ServerOf(const KeyOwner& owner) -> Server*;
  auto CheckHolders() -> void;
  [[nodiscard]] auto HeldStripes() const -> int;
  [[nodiscard]] auto RandomBool(double probability) -> bool;

  ManualClock clock;
  MemoryStore store;
  std::mt19937 random;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Server> servers;
  std::vector<MemoryStore::Copy> copies;  ///< Of the store, at each step.
  std::deque<Call> calls;
  std::map<int, std::pair<KeyOwner, FencingToken>> last_accepted;
  std::string violation;
  int step = 0;
  bool are_calls_delayed = false;
};

}  // namespace currantbeam
