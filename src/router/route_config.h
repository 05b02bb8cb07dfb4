#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Whether a request may be retried after it may have run.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kDownload,  ///< Idempotent, with a large response.
};

/// A service to which requests are forwarded.
struct ServiceSpec {
  ServiceName name;
  bool is_keyed = false;      ///< Each key is granted to one server.
  int max_connections = 100;  ///< To one server, from all hosts together.
  std::string health_path;    ///< Where its servers say whether they serve.
  /// How long a key is slow at a new owner that received no handover.
  std::chrono::milliseconds warm_up{0};
};

/// One of the services among which a route's requests are divided by weight.
struct RouteTarget {
  ServiceName service;
  double weight = 1;
};

/// The settings for requests under one path prefix.
struct Route {
  std::string name;
  std::string prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds latency_target{0};
  int priority = 0;      ///< 0 is the highest.
  int max_attempts = 1;  ///< To backend servers, for one request.
  std::vector<RouteTarget> targets;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;
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
