#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "router/route_config.h"

namespace currantbeam {

/// Finds the route of a request in one version of the configuration.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  [[nodiscard]] auto Config() const -> const RouteConfig& {
    return this->config;
  }
  /// @param host  the Host header, with or without a port.
  /// @param target  the request's path, with or without a query.
  /// @return the route of that host with the longest prefix that begins the
  ///   path; null if there is none.
  [[nodiscard]] auto Find(std::string_view host, std::string_view target) const
      -> const Route*;

 private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  RouteConfig config;
  std::unordered_map<std::string, Prefixes> hosts;
};

/// Divides requests among a route's targets so that any run of them comes
/// close to the weights.
class TargetSequence {
 public:
  /// @return the target of the next request of the route.
  auto Next(const Route& route) -> const ServiceName&;

 private:
  std::unordered_map<std::string, std::uint64_t> counts;  ///< By route name.
};

}  // namespace currantbeam
