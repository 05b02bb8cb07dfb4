#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "load/result.h"
#include "load/scenario.h"
#include "ownership/ownership.h"

namespace currantbeam {

/// Offers a scenario's arrivals on time, whatever became of earlier ones, and
/// measures each from its planned arrival.
class LoadRunner {
 public:
  struct Options {
    std::vector<Endpoint> targets;
    /// Sends each key to the target that its hash falls on, as a client that
    /// knows nothing but a fixed list of servers would.
    bool by_hash = false;
    std::size_t workers = 2;
  };

  LoadRunner(const Scenario& scenario, Options options);
  auto Run() -> LoadResult;

 private:
  class Worker;

  const Scenario& scenario;
  Options options;
};

}  // namespace currantbeam
