#include "router/route_table.h"

#include <cmath>
#include <utility>

namespace currantbeam {
namespace {

/// The fractional parts of its multiples are evenly distributed over [0, 1).
constexpr double kGoldenRatio = 0.6180339887498949;

auto WithoutPort(std::string_view host) -> std::string_view {
  return host.substr(0, host.find(':'));
}

auto WithoutQuery(std::string_view target) -> std::string_view {
  return target.substr(0, target.find('?'));
}

}  // namespace

RouteTable::RouteTable(RouteConfig config) : config(std::move(config)) {
  for (const auto& [host, routes] : this->config.hosts) {
    auto& prefixes = this->hosts[host];
    for (const auto& route : routes) prefixes[route.prefix] = &route;
  }
}

auto RouteTable::Find(std::string_view host, std::string_view target) const
    -> const Route* {
  const auto found = this->hosts.find(std::string(WithoutPort(host)));
  if (found == this->hosts.end()) return nullptr;
  auto path = WithoutQuery(target);
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) return nullptr;
    path = path.substr(0, slash + 1);
    const auto route = found->second.find(std::string(path));
    if (route != found->second.end()) return route->second;
    path.remove_suffix(1);
  }
  return nullptr;
}

auto TargetSequence::Next(const Route& route) -> const ServiceName& {
  if (route.targets.size() == 1) return route.targets.front().service;
  double sum = 0;
  for (const auto& target : route.targets) sum += target.weight;
  const auto count = this->counts[route.name]++;
  double position = std::fmod(static_cast<double>(count) * kGoldenRatio, 1.0);
  position *= sum;
  for (const auto& target : route.targets) {
    position -= target.weight;
    if (position < 0) return target.service;
  }
  return route.targets.back().service;
}

}  // namespace currantbeam
