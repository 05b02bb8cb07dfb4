#pragma once

#include <cstdint>

#include "core/core.h"
#include "ownership/document.h"
#include "ownership/driven_server_set.h"
#include "ownership/messages.h"
#include "ownership/placer_follower.h"

namespace currantbeam {

/// The control side of a gateway: follows a placer, keeps the newest
/// documents, and knows what the gateway may drive. Holds no sockets.
class GatewayAgent {
 public:
  GatewayAgent(HostId self, FailureDomain domain, std::uint64_t incarnation,
               const LeaseTiming& timing, const Clock& clock);

  /// Takes a beat.
  /// @return the report to send back at once.
  auto OnBeat(const Beat& beat) -> Report;

  auto Drives() -> DrivenServerSet& { return this->drives; }
  [[nodiscard]] auto Drives() const -> const DrivenServerSet& {
    return this->drives;
  }
  [[nodiscard]] auto Documents() const -> const DocumentSet& {
    return this->documents;
  }
  [[nodiscard]] auto ConfigVersion() const -> std::uint64_t;
  /// @return true while the configuration held may be served from: there is
  /// one, and an active placer has confirmed it within the config lease.
  [[nodiscard]] auto MayServe() const -> bool;

  static constexpr auto kConfigLease = std::chrono::milliseconds(3000);
  static constexpr auto kConfigDocument = "config";

 private:
  auto Follow(const Beat& beat) -> void;
  auto UpdateOwned() -> void;

  HostId self;
  FailureDomain domain;
  std::uint64_t incarnation;
  LeaseTiming timing;
  const Clock& clock;
  PlacerFollower allegiance;
  DocumentSet documents;
  DrivenServerSet drives;
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  TimePoint touched_until;
};

}  // namespace currantbeam
