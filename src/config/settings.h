#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// Where the platform's services are.
struct PlatformSettings {
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout{400};
};

/// Settings of one gateway process.
struct GatewaySettings {
  HostId host;
  FailureDomain domain;
  std::string log_level;
  std::string address;
  std::uint16_t callers_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t hop_port = 0;
  std::uint16_t status_port = 0;
  std::size_t workers = 1;
  std::chrono::milliseconds drain_limit{30000};

  /// @throws InputError naming file, line and field.
  static auto FromFile(const std::string& path) -> GatewaySettings;
};

/// Settings of one placer process.
struct PlacerSettings {
  HostId host;
  FailureDomain domain;
  std::string log_level;
  std::string address;
  std::uint16_t placer_port = 0;
  std::uint16_t operators_port = 0;
  PlatformSettings platform;

  /// @throws InputError naming file, line and field.
  static auto FromFile(const std::string& path) -> PlacerSettings;
};

}  // namespace currantbeam
