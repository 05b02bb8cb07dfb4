#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/config.h"
#include "ownership/ownership.h"
#include "peers/peers.h"
#include "placer/account_store.h"
#include "placer/config_store.h"
#include "platform/platform.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Runs a Placer: sends its heartbeats and documents to the domain's gateways
/// and the other placers, executes its table requests on the platform, and
/// stores configuration acknowledgements and accounts. Everything runs on one
/// loop.
class PlacerProcess {
 public:
  PlacerProcess(FiberLoop& loop, const PlacerSettings& settings,
                PlatformServices& platform, const LeaseTiming& timing,
                const Clock& clock);

  /// @throws Error if the placer port cannot be bound.
  auto Start() -> void;
  auto Stop() -> void;

  [[nodiscard]] auto GetPlacer() const -> const Placer& { return this->placer; }
  [[nodiscard]] auto GetConfiguration() const
      -> const std::optional<Configuration>& {
    return this->configuration;
  }
  auto GetConfigStore() -> ConfigStore& { return this->config_store; }
  auto GetPlatform() -> PlatformServices& { return this->platform; }
  [[nodiscard]] auto GetSettings() const -> const PlacerSettings& {
    return this->settings;
  }
  [[nodiscard]] auto IsPlatformReachable() const -> bool {
    return this->platform_reachable;
  }
  /// @return the wall-clock time, in ISO 8601, at which this placer assigned
  /// the slot to its owner; empty if this placer did not assign it.
  [[nodiscard]] auto AssignmentTime(const ServiceName& service,
                                    SlotIndex slot) const -> std::string;
  /// @return the reason of the slot's assignment; empty if this placer did not
  /// assign it.
  [[nodiscard]] auto AssignmentReason(const ServiceName& service,
                                      SlotIndex slot) const -> std::string;
  /// Reads the configuration from the platform now, without waiting for the
  /// next poll.
  /// @throws PlatformError if the platform is unreachable.
  auto RefreshConfiguration() -> void;

 private:
  struct AssignmentRecord {
    std::string assigned_at;
    std::string reason;
  };
  struct PeerPlacer {
    std::uint64_t session = 0;
    std::uint64_t acked_cursor = 0;
  };
  auto OnReport(const nlohmann::json& message) -> void;
  auto OnPlacerMessage(const nlohmann::json& message)
      -> std::optional<nlohmann::json>;
  auto OnPlacerAck(const nlohmann::json& message) -> void;
  auto TickLoop() -> void;
  auto Advance() -> void;
  auto SendHeartbeats() -> void;
  /// Sends changed documents of this domain to the other placers.
  auto SendDocuments() -> void;
  auto RunTableRequest(const TableRequest& request) -> void;
  /// Periodically, every kPollInterval, reads the host list and the
  /// configuration from the platform.
  auto PollLoop() -> void;
  auto PollPlatform() -> void;
  auto PollHosts() -> void;
  auto SetConfiguration(const Configuration& configuration) -> void;
  /// Applies a newer configuration received from another placer, so that it
  /// takes effect even while the platform is unreachable.
  auto ApplyConfigDocument() -> void;
  /// Periodically, every kAckInterval, stores the configuration version that
  /// the domain has in force.
  auto AcknowledgeLoop() -> void;
  auto Acknowledge() -> void;
  /// Periodically, every kFlushInterval, writes changed accounts while active.
  auto FlushLoop() -> void;
  auto SetPlatformReachable(bool reachable) -> void;
  auto LogDecisions() -> void;

  FiberLoop& loop;
  PlacerSettings settings;
  PlatformServices& platform;
  const Clock& clock;
  std::uint64_t session;
  Placer placer;
  ConfigStore config_store;
  AccountStore account_store;
  PeerClient gateway_client;
  PeerClient placer_client;
  PeerServer peer_server;
  HostList hosts;
  std::optional<Configuration> configuration;
  std::map<HostId, PeerPlacer> peer_placers;
  std::map<std::pair<ServiceName, SlotIndex>, AssignmentRecord> assignments;
  TimePoint next_document_push;
  bool platform_reachable = true;
  bool stopped = false;
  Election::Role role = Election::Role::kStandby;
  std::uint64_t acknowledged = 0;
};

}  // namespace currantbeam
