#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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
  /// Counts the writes of the server process; grows with each of them. Empty if
  /// the entry does not contain it.
  std::optional<std::uint64_t> sequence;
};

/// Why an entry is older than another one of the same server.
enum class OutdatedReason {
  kOlderProcess,        ///< It was written before the server restarted.
  kOlderSequence,       ///< The same process wrote the other one later.
  kReadyAfterDraining,  ///< A server process that drains does not get ready.
  kRemoved,  ///< The server process was removed before a restore of the store.
};

auto ToString(OutdatedReason reason) -> std::string_view;

/// @param known  the newest entry known of the same server.
/// @return why the entry is older than the known one; empty if it isn't, or if
///   that can't be determined.
auto FindOutdatedReason(const BackendEntry& entry, const BackendEntry& known)
    -> std::optional<OutdatedReason>;

}  // namespace currantbeam
