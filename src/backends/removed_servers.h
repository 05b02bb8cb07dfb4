#pragma once

#include <map>

#include "backends/backend_entry.h"

namespace currantbeam {

/// The last entries of the backend servers whose entries were removed from the
/// store recently, so that their return in a restored store is recognised.
/// Bounded in time and number.
class RemovedServers {
 public:
  explicit RemovedServers(const Clock& clock) : clock(clock) {}

  /// @param entry  the newest entry that was known of the server.
  auto Add(const BackendEntry& entry) -> void;
  /// The server is in use again.
  auto Erase(const ServerId& id) -> void { this->servers.erase(id); }
  /// @return the last entry; null if none is kept.
  [[nodiscard]] auto Find(const ServerId& id) const -> const BackendEntry*;

 private:
  struct RemovedServer {
    BackendEntry entry;
    TimePoint kept_until{};
  };

  auto DropExpired() -> void;
  auto DropOldest() -> void;

  const Clock& clock;
  std::map<ServerId, RemovedServer> servers;
};

}  // namespace currantbeam
