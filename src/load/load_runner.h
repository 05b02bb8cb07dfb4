#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "load/result.h"
#include "load/scenario.h"
#include "ownership/ownership.h"

namespace currantbeam {

/// Generates open-loop load: sends each request of a scenario at its planned
/// time, whether or not earlier requests have completed, and measures its
/// latency from the planned time.
class LoadRunner {
 public:
  struct Options {
    std::vector<Endpoint> targets;
    /// Selects the target by a hash of the request's key, as a client with a
    /// fixed list of servers would; else the targets are used in rotation.
    bool by_hash = false;
    std::size_t workers = 2;  ///< Number of threads.
  };

  LoadRunner(const Scenario& scenario, Options options);
  /// Blocks until every request has completed or failed.
  auto Run() -> LoadResult;

 private:
  class Worker;

  const Scenario& scenario;
  Options options;
};

}  // namespace currantbeam
