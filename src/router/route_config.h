#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// What may be repeated of a request.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kDownload,  ///< Idempotent, with a large answer.
};

/// A service that requests are sent to.
struct ServiceSpec {
  ServiceName name;
  bool is_keyed = false;      ///< Its keys are granted to one server each.
  int max_connections = 100;  ///< Of one server, from all callers together.
  /// How long a key is slow at a new owner that got no hand-over.
  std::chrono::milliseconds warm_up{0};
};

/// A service among which a route's requests are divided.
struct RouteTarget {
  ServiceName service;
  double weight = 1;
};

/// How requests under one path prefix are treated.
struct Route {
  std::string name;
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_target{0};
  int rank = 0;          ///< 0 is served first.
  int max_attempts = 1;  ///< Backend servers that one request may be sent to.
  std::vector<RouteTarget> targets;
};

/// Bounds on what callers may send.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// One version of the operators' configuration of routes.
struct RouteConfig {
  std::uint64_t version = 0;
  std::map<ServiceName, ServiceSpec> services;
  std::map<std::string, std::vector<Route>> hosts;  ///< By host name.
  CallerLimits limits;
};

}  // namespace currantbeam
