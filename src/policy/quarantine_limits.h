#pragma once

#include <cstddef>

#include "core/core.h"

namespace currantbeam {

/// The end of a server counts against the requests that it ran for this long.
constexpr Duration kServerEndRetention = std::chrono::seconds(60);
/// The number of server processes that end under a request until it is
/// quarantined for the first time.
constexpr int kMaxEndsPerRequest = 3;
/// The first quarantine of a request. Each further one lasts twice as long.
constexpr Duration kFirstQuarantine = std::chrono::seconds(60);
constexpr Duration kMaxQuarantine = std::chrono::minutes(16);
constexpr int kMaxQuarantineCount = 1000;  ///< Of one request.

/// Limits what a host keeps; the oldest entries are discarded beyond them.
constexpr std::size_t kMaxQuarantined = 64;
constexpr std::size_t kMaxSuspects = 256;
/// Further requests that ran on the same server are not recorded.
constexpr std::size_t kMaxSuspectsPerServer = 64;

}  // namespace currantbeam
