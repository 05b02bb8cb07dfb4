#pragma once

#include <random>
#include <vector>

#include "backends/backends.h"
#include "router/route_config.h"

namespace currantbeam {

/// Load balancer for requests that any server of a service can run. Compares
/// the expected latencies of the servers, as this gateway has measured them,
/// and prefers servers in its own failure domain ("near" servers).
class BackendChooser {
 public:
  /// @param domain  the failure domain of this gateway.
  BackendChooser(const Clock& clock, FailureDomain domain)
      : clock(clock), domain(std::move(domain)) {}

  /// @param tried_servers  servers to leave out, as they were tried before.
  /// @return the server with the lowest cost among those compared; null if
  ///   every server was tried, is ejected or is at its concurrency limit.
  auto Choose(const std::vector<BackendTargetPtr>& servers, RequestKind kind,
              const std::vector<ServerId>& tried_servers) -> BackendTargetPtr;

 private:
  /// @return the expected latency in microseconds, multiplied by a penalty if
  ///   the server is in another failure domain.
  [[nodiscard]] auto Cost(const BackendTarget& target, RequestKind kind,
                          TimePoint now) const -> double;

  const Clock& clock;
  FailureDomain domain;
  std::minstd_rand random{std::random_device{}()};
};

}  // namespace currantbeam
