#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// What a backend server says of itself.
struct BackendEntry {
  ServerId id;
  ServiceName service;
  std::string address;
  std::uint16_t port = 0;
  FailureDomain domain;
  int slots = 1;
  bool is_draining = false;
  /// How much longer it is slow after its start.
  std::chrono::milliseconds cold_left{0};
  /// When this life of the server started, by its own clock.
  std::chrono::milliseconds started{0};
};

}  // namespace currantbeam
