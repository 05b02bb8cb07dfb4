#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// How a placer reaches the platform's services.
struct PlatformSettings {
  std::string address;
  std::uint16_t port = 0;
  std::chrono::milliseconds timeout{400};
};

/// The settings file of a gateway.
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
  std::chrono::milliseconds drain_timeout{30000};

  /// @throws InputError with the file, line and field, or if the file cannot be
  /// read.
  static auto FromFile(const std::string& path) -> GatewaySettings;
};

/// The settings file of a placer.
struct PlacerSettings {
  HostId host;
  FailureDomain domain;
  std::string log_level;
  std::string address;
  std::uint16_t placer_port = 0;
  std::uint16_t operators_port = 0;
  PlatformSettings platform;

  /// @throws InputError with the file, line and field, or if the file cannot be
  /// read.
  static auto FromFile(const std::string& path) -> PlacerSettings;
};

}  // namespace currantbeam
