#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_state.h"
#include "peers/peers.h"
#include "runtime/runtime.h"
#include "servers/servers.h"

namespace currantbeam {

/// The gateway's control plane: answers placers' heartbeats with reports,
/// renews the grants of the backend servers that the gateway drives, and
/// rebuilds the routing view that its workers use. Runs on a loop of its own,
/// apart from the request path.
class GatewayControl {
 public:
  GatewayControl(FiberLoop& loop, GatewayState& state,
                 BackendDispatcher& dispatcher, BackendClient& client);

  /// @throws Error if the control port cannot be bound.
  auto Start() -> void;
  auto Stop() -> void;

 private:
  auto OnMessage(const nlohmann::json& message)
      -> std::optional<nlohmann::json>;
  auto TickLoop() -> void;
  auto Tick() -> void;
  auto RenewGrants() -> void;
  auto SendGrant(const GrantAttempt& attempt) -> void;
  auto RefreshView() -> void;
  auto FillReport(Report& report) -> void;
  auto LogPlacerChange(const Report& report) -> void;

  FiberLoop& loop;
  GatewayState& state;
  BackendDispatcher& dispatcher;
  BackendClient& client;
  PeerServer peers;
  bool stopped = false;
  std::uint64_t view_cursor = 0;
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const RoutingTable> routes;
  TimePoint next_adjustment;
  TimePoint next_observation;
  std::uint64_t reported_account_changes = 0;
  HostId followed_placer;
};

}  // namespace currantbeam
