#pragma once

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "gateway/gateway_state.h"
#include "gateway/request_job.h"
#include "policy/policy.h"
#include "servers/servers.h"
#include "settlement/settlement.h"

namespace currantbeam {

/// Drives backend servers: holds the only queue of each, sends work to them,
/// and accounts for what was drawn.
class Driver {
 public:
  Driver(GatewayState& state, BackendClient& client);
  ~Driver();

  /// Runs one request on the server that owns its key and relays the answer.
  /// @throws RerouteError, OverloadError or RequestError; once the exchange
  /// has started, the answer was cut.
  auto Run(RequestJob& job, HttpExchange& exchange) -> void;

  /// @return true if a request may be sent once more; it is then counted.
  auto TryRetry() -> bool;
  /// Takes over new targets.
  auto SetConfiguration(const Configuration& configuration) -> void;
  /// Adjusts weights; call once ClassController::kInterval.
  auto Adjust() -> void;
  /// Adds what was observed since the last call to a report.
  auto FillReport(Report& report) -> void;
  /// @return the account and the count of its changes.
  auto CurrentAccount() -> std::pair<Account, std::uint64_t>;

 private:
  class Permit;
  struct Waiter;
  struct ServerState;

  auto StateOf(const RouteTarget& target) -> std::shared_ptr<ServerState>;
  auto WaitForSlot(RequestJob& job, const std::shared_ptr<ServerState>& server)
      -> std::unique_ptr<Permit>;
  auto MakeItem(const RequestJob& job, ServerState& server) -> WorkItem;
  auto SendAndRelay(RequestJob& job, HttpExchange& exchange,
                    ServerState& server, SlotIndex slot) -> void;
  auto Relay(RequestJob& job, HttpExchange& exchange, ServerState& server,
             BackendCall& call) -> void;
  auto SendWithRetries(RequestJob& job, HttpExchange& exchange,
                       const std::shared_ptr<ServerState>& server,
                       SlotIndex slot) -> void;
  auto RunOnce(RequestJob& job, HttpExchange& exchange, const Route& route)
      -> void;
  auto Settle(const RequestJob& job, ServerState& server, SlotIndex slot,
              Duration busy) -> void;
  auto StartWaiting(ServerState& server) -> void;

  GatewayState& state;
  BackendClient& client;

  std::mutex mutex;  ///< Guards `servers`; taken before a server's lock.
  std::unordered_map<ServerId, std::shared_ptr<ServerState>> servers;

  std::mutex policy_mutex;  ///< Guards what follows; taken last.
  ClassController controller;
  RetryBudget retries;
  Account account;
  IdempotencyCache memory;
};

}  // namespace currantbeam
