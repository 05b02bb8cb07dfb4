#pragma once

#include <random>
#include <vector>

#include "backends/backends.h"
#include "router/route_config.h"

namespace currantbeam {

/// Chooses a server for a request that any server of its service can take, by
/// what this gateway has seen of them.
class BackendChooser {
 public:
  /// @param domain  where this gateway runs; near servers are preferred.
  BackendChooser(const Clock& clock, FailureDomain domain)
      : clock(clock), domain(std::move(domain)) {}

  /// @param tried  servers that the request was sent to already.
  /// @return the server that is expected to answer first; null if none has
  ///   room.
  auto Choose(const std::vector<BackendTargetPtr>& servers, RequestKind kind,
              const std::vector<ServerId>& tried) -> BackendTargetPtr;

 private:
  [[nodiscard]] auto Cost(const BackendTarget& target, RequestKind kind,
                          TimePoint now) const -> double;

  const Clock& clock;
  FailureDomain domain;
  std::minstd_rand random{std::random_device{}()};
};

}  // namespace currantbeam
