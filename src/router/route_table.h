#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "router/route_config.h"

namespace currantbeam {

/// An index of the routes in one version of the configuration.
class RouteTable {
 public:
  explicit RouteTable(RouteConfig config);

  [[nodiscard]] auto Config() const -> const RouteConfig& {
    return this->config;
  }
  /// @param host  the Host header, with or without a port.
  /// @param target  the request's path, with or without a query.
  /// @return the route of that host with the longest matching prefix; null if
  ///   none matches.
  [[nodiscard]] auto Find(std::string_view host, std::string_view target) const
      -> const Route*;

 private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  RouteConfig config;
  std::unordered_map<std::string, Prefixes> hosts;
};

/// Divides requests among a route's targets deterministically, so that the
/// weights hold closely in every window of consecutive requests.
class TargetSequence {
 public:
  /// @return the service for the route's next request.
  auto Next(const Route& route) -> const ServiceName&;

 private:
  std::unordered_map<std::string, std::uint64_t> counts;  ///< By route name.
};

}  // namespace currantbeam
