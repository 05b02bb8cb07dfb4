#pragma once

#include <map>
#include <memory>

#include "backends/backends.h"
#include "policy/policy.h"

namespace currantbeam {

/// Finds out whether a server process has ended after a connection to it broke
/// off. The requests that break off at the same time share one connection
/// attempt. To be used from one loop.
class EndedServerProbe {
 public:
  /// Blocks the fiber until the server's address has been connected to, for at
  /// most the timeout.
  /// @return whether no process listens at the address; false if that is
  ///   unknown.
  auto HasEnded(const BackendEntry& server, Duration timeout) -> bool;

 private:
  struct Attempt {
    bool is_done = false;
    bool is_refused = false;
  };

  std::map<ServerProcess, std::shared_ptr<Attempt>> attempts;
};

}  // namespace currantbeam
