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

/// Sends requests to the backend servers that this gateway drives, that is,
/// those that a placer assigned to it. It holds the only request queue of each
/// such server, retries shed requests, and accounts for the slot time that each
/// neighbour used. Used by all workers of a gateway.
class BackendDispatcher {
 public:
  BackendDispatcher(GatewayState& state, BackendClient& client);
  ~BackendDispatcher();

  /// Runs one request on the server that owns its key and relays the response.
  /// @throws RerouteError, OverloadError or RequestError. If the exchange had
  /// started by then, the response to the client is truncated.
  auto Run(RequestJob& job, HttpExchange& exchange) -> void;

  /// @return true if the retry budget allows one more retry, which is then
  /// counted against it.
  auto TryRetry() -> bool;
  /// Sets the targets of the request classes from a new configuration.
  auto SetConfiguration(const Configuration& configuration) -> void;
  /// Makes requests that wait for a slot compute their deadlines again. Call it
  /// after GatewayState::BeginStop().
  auto UpdateDeadlines() -> void;
  /// Adjusts the weights of the request classes. Call it periodically, every
  /// ClassController::kInterval.
  auto AdjustWeights() -> void;
  /// Adds the slot loads and hot keys observed since the last call to a report.
  auto FillReport(Report& report) -> void;
  /// @return the account and the number of changes made to it so far.
  auto GetAccount() -> std::pair<Account, std::uint64_t>;

 private:
  class Permit;
  struct Waiter;
  struct ServerState;

  /// @return the queue and statistics of a server; new ones if the server is
  /// not known or its description has changed.
  auto GetServerState(const RouteTarget& target)
      -> std::shared_ptr<ServerState>;
  /// Blocks the fiber until the server has a free slot for the request.
  /// @throws OverloadError if admission rejects the request, its deadline
  /// passes first, or the process stops before the server can respond.
  auto WaitForSlot(RequestJob& job, const std::shared_ptr<ServerState>& server)
      -> std::unique_ptr<Permit>;
  /// Blocks the fiber until the waiter's request is started or its deadline has
  /// passed.
  auto AwaitStart(const RequestJob& job, Waiter& waiter) -> void;
  /// @return false if the process stops, and the server is expected to respond
  /// only after the time that the stop allows.
  auto FitsBeforeStop(const RequestJob& job, ServerState& server) -> bool;
  auto MakeWorkItem(const RequestJob& job, ServerState& server) -> WorkItem;
  auto SendAndRelay(RequestJob& job, HttpExchange& exchange,
                    ServerState& server, SlotIndex slot) -> void;
  auto Relay(RequestJob& job, HttpExchange& exchange, ServerState& server,
             BackendCall& call) -> void;
  /// Retries a shed request as long as the retry budget allows it.
  auto SendWithRetries(RequestJob& job, HttpExchange& exchange,
                       const std::shared_ptr<ServerState>& server,
                       SlotIndex slot) -> void;
  /// Sends the request if the server's grant is in force, waiting briefly for
  /// one that is being renewed.
  auto RunWithGrant(RequestJob& job, HttpExchange& exchange, const Route& route)
      -> void;
  /// Accounts for the time that a request kept a slot busy.
  auto RecordUsage(const RequestJob& job, ServerState& server, SlotIndex slot,
                   Duration busy) -> void;
  /// @return all known servers.
  auto ServerStates() -> std::vector<std::shared_ptr<ServerState>>;
  /// Wakes the fibers whose requests may start now. Call with the server's
  /// mutex locked.
  auto StartQueuedRequests(ServerState& server) -> void;

  GatewayState& state;
  BackendClient& client;

  std::mutex mutex;  ///< Guards `servers`; locked before a server's mutex.
  std::unordered_map<ServerId, std::shared_ptr<ServerState>> servers;

  std::mutex policy_mutex;  ///< Guards the members below; locked last.
  ClassController controller;
  RetryBudget retry_budget;
  Account account;
  IdempotencyCache idempotency_cache;
};

}  // namespace currantbeam
