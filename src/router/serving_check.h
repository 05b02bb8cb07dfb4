#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "backends/backends.h"
#include "policy/policy.h"
#include "router/server_health_client.h"
#include "runtime/runtime.h"
#include "store/store.h"

namespace currantbeam {

/// Decides, when a request is about to be sent to a server, whether the server
/// is known to serve. What is known must not be too old, whatever delayed it:
/// either this host's copy of the table of servers is recent, or the server
/// itself has said recently that it serves, in any response. If neither is the
/// case, the server can be asked. Some servers leave without saying so
/// themselves; so their word counts only while the copy is younger than the
/// bound, or while this host is cut off from the store and all other hosts. To
/// be used from one loop.
class ServingCheck {
 public:
  /// @return what this host knows of the table of servers.
  using CopyStatus = std::function<TableStatus()>;
  /// @param bound  no request reaches a server later than this after the store
  ///   has accepted that the server leaves.
  ServingCheck(const Clock& clock, const BackendDirectory& directory,
               ServerHealthClient& health, CopyStatus copy, Duration bound)
      : clock(clock),
        directory(directory),
        health(health),
        copy(std::move(copy)),
        bound(bound) {}

  /// @return the age of what is known of the server: of the copy or of the
  ///   server's own word, whichever is younger; nothing if the server is not
  ///   to be used, as it leaves, has left or was replaced, or if nothing is
  ///   known of it.
  [[nodiscard]] auto KnownAge(const BackendTarget& target) const
      -> std::optional<Duration>;
  /// @return whether a request may be sent to the server now.
  [[nodiscard]] auto IsKnownToServe(const BackendTarget& target) const -> bool;
  /// Asks the server if it is not known whether it serves. Requests that need
  /// the same server share the call. A server that doesn't respond that it
  /// serves is ejected for a time.
  /// @param max_wait  how long the fiber is blocked at most.
  /// @return whether a request may be sent to the server now.
  auto Confirm(const BackendTargetPtr& target, Duration max_wait) -> bool;
  auto SetBound(Duration new_bound) -> void { this->bound = new_bound; }

 private:
  struct Call {
    bool is_done = false;
    FiberEvent has_ended;
  };

  /// @return whether a server's own word counts.
  [[nodiscard]] auto MayRelyOnServers(const TableStatus& copy_status) const
      -> bool;
  /// @return the call in which the server is asked; started if there is none.
  auto Ask(const BackendTargetPtr& target) -> std::shared_ptr<Call>;
  /// Asks the server, and records what it responds.
  auto RunCall(BackendTarget& target) -> void;

  const Clock& clock;
  const BackendDirectory& directory;
  ServerHealthClient& health;
  CopyStatus copy;
  Duration bound;
  std::map<ServerProcess, std::shared_ptr<Call>> calls;
};

}  // namespace currantbeam
