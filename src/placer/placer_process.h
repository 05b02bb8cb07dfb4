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

/// Connects a Placer to the platform, to its domain's gateways and to the
/// other placers. Everything runs on one loop.
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
  /// @return the wall-clock time, ISO 8601, since which the slot has its owner
  /// as far as this placer knows; empty if it did not decide it.
  [[nodiscard]] auto SinceOf(const ServiceName& service, SlotIndex slot) const
      -> std::string;
  /// @return why the slot has its owner; empty if this placer did not decide.
  [[nodiscard]] auto ReasonOf(const ServiceName& service, SlotIndex slot) const
      -> std::string;
  /// Reads the configuration anew, without waiting for the next turn.
  auto RefreshConfiguration() -> void;

 private:
  struct DecisionNote {
    std::string at;
    std::string reason;
  };
  struct PeerPlacer {
    std::uint64_t session = 0;
    std::uint64_t acked = 0;
  };
  auto OnReport(const nlohmann::json& message) -> void;
  auto OnPlacerMessage(const nlohmann::json& message)
      -> std::optional<nlohmann::json>;
  auto OnPlacerAck(const nlohmann::json& message) -> void;
  auto TickLoop() -> void;
  auto Advance() -> void;
  auto SendBeats() -> void;
  auto SendDocuments() -> void;
  auto RunTableRequest(const TableRequest& request) -> void;
  auto PollLoop() -> void;
  auto PollHosts() -> void;
  auto SetConfiguration(const Configuration& configuration) -> void;
  auto AdoptConfigDocument() -> void;
  auto AcknowledgeLoop() -> void;
  auto FlushLoop() -> void;
  auto NotePlatform(bool reachable) -> void;
  auto LogDecisions() -> void;

  FiberLoop& loop;
  PlacerSettings settings;
  PlatformServices& platform;
  const Clock& clock;
  std::uint64_t session;
  Placer placer;
  ConfigStore config_store;
  AccountStore account_store;
  PeerClient gateways;
  PeerClient placers;
  PeerServer peers;
  HostList hosts;
  std::optional<Configuration> configuration;
  std::map<HostId, PeerPlacer> peer_placers;
  std::map<std::pair<ServiceName, SlotIndex>, DecisionNote> notes;
  TimePoint next_documents;
  bool platform_reachable = true;
  bool stopped = false;
  Election::Role role = Election::Role::kStandby;
  std::uint64_t acknowledged = 0;
};

}  // namespace currantbeam
