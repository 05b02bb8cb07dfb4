#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/core.h"
#include "keys/keys.h"
#include "policy/policy.h"

namespace currantbeam {

/// An address to listen at or to call.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

/// What a router process needs to know before it has asked anyone.
struct RouterSettings {
  HostId host;
  FailureDomain domain;
  Endpoint callers;
  Endpoint readiness;
  Endpoint store;
  Endpoint peers;  ///< Where other hosts reach this one.
  Endpoint metrics;
  /// From the signal to stop until the process is killed.
  std::chrono::milliseconds stop_grace{6000};
  RetryLimits retries;         ///< Of all hosts together.
  double processor_share = 1;  ///< Of one core, that this host has.
  double link_mbps = 1000;     ///< Megabits a second of this host's link.
  GrantTiming grants;
  std::string log_level = "info";
};

/// Where the settings come from, and may change while the process runs.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// @return the settings, if they changed since they were last asked for.
  /// @throws InputError if they cannot be read; those in force stay.
  virtual auto Poll() -> std::optional<RouterSettings> = 0;
};

}  // namespace currantbeam
