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

/// The gateway's control side: answers placers' beats, renews grants at the
/// servers that it drives, and rebuilds the view that workers route by. Lives
/// on a loop of its own.
class GatewayControl {
 public:
  GatewayControl(FiberLoop& loop, GatewayState& state, Driver& driver,
                 BackendClient& client);

  /// @throws Error if the control port cannot be bound.
  auto Start() -> void;
  auto Stop() -> void;

 private:
  auto OnMessage(const nlohmann::json& message)
      -> std::optional<nlohmann::json>;
  auto TickLoop() -> void;
  auto RenewGrants() -> void;
  auto SendGrant(const GrantAttempt& attempt) -> void;
  auto RefreshView() -> void;
  auto FillReport(Report& report) -> void;
  auto LogFollowing(const Report& report) -> void;

  FiberLoop& loop;
  GatewayState& state;
  Driver& driver;
  BackendClient& client;
  PeerServer peers;
  bool stopped = false;
  std::uint64_t built_cursor = 0;
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const RoutingTable> routes;
  TimePoint next_adjust;
  TimePoint next_observations;
  std::uint64_t account_sent = 0;
  HostId followed;
};

}  // namespace currantbeam
