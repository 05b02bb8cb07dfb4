#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/core.h"
#include "keys/keys.h"
#include "policy/policy.h"
#include "router/endpoint.h"

namespace currantbeam {

/// The settings that a router process starts with, before it has read the
/// store.
struct RouterSettings {
  HostId host;
  FailureDomain domain;
  Endpoint callers;
  Endpoint readiness;
  Endpoint store;
  Endpoint peers;  ///< For messages of other hosts.
  Endpoint metrics;
  /// The time from the stop signal until the process is killed.
  std::chrono::milliseconds stop_grace{6000};
  /// No request reaches a server later than this after the store has accepted
  /// that the server leaves.
  std::chrono::milliseconds drain_bound{2000};
  RetryLimits retry_limits;  ///< For all hosts together.
  double cpu_cores = 1;      ///< CPU capacity of this host, in cores.
  double link_mbps = 1000;   ///< Bandwidth in megabits per second.
  double memory_mb = 256;    ///< A process that exceeds it is killed, in MiB.
  GrantTiming grant_timing;
  /// Whether the whole fleet starts for the first time, so that no host
  /// coordinates yet and no caller has to be served at once.
  bool is_first_start = false;
  std::string log_level = "info";
};

/// A source of settings that may change while the process runs.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  /// @return the settings if they changed since the last call; else nothing.
  /// @throws InputError if they cannot be read; the current ones stay valid.
  virtual auto Poll() -> std::optional<RouterSettings> = 0;
};

}  // namespace currantbeam
