#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// The entry that a backend server publishes about itself in the store.
struct BackendEntry {
  ServerId id;
  ServiceName service;
  std::string address;
  std::uint16_t port = 0;
  FailureDomain domain;
  int slots = 1;
  bool is_draining = false;
  /// Remaining time in which the server is slow after its start.
  std::chrono::milliseconds warmup_remaining{0};
  /// Start of the server process, by its own clock. A different value means
  /// that the server has restarted.
  std::chrono::milliseconds started{0};
};

}  // namespace currantbeam
