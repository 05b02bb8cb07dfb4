#pragma once

#include <string>

#include "store/known_hosts.h"
#include "store/peer_link.h"

namespace currantbeam {

/// Reads the store through other hosts: through the one that responded last,
/// and if that fails or is late, through groups of several others. After a
/// failure of all of them it pauses, since the store may be unreachable for all
/// hosts. Runs on one loop.
class PeerReader : public StoreReader {
 public:
  PeerReader(PeerLink& link, KnownHosts& hosts, const Clock& clock)
      : link(link), hosts(hosts), clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;

 private:
  /// @param patience  how much longer than the wait a group of hosts may take
  ///   before the next one is asked, too.
  auto Ask(const StoreReadRequest& request, std::chrono::milliseconds timeout,
           Duration patience) -> RowBatch;
  /// Asks one host, and records whether it could read the store.
  auto AskHost(const std::string& endpoint, const StoreReadRequest& request,
               std::chrono::milliseconds timeout) -> RowBatch;
  /// The host has read the store for this one.
  auto OnRead(const std::string& endpoint) -> void;
  auto PauseAfterFailure() -> void;

  PeerLink& link;
  KnownHosts& hosts;
  const Clock& clock;
  std::string last_reader;  ///< The host that responded last; may be empty.
  int failures_in_row = 0;  ///< Calls that no host responded to.
  Duration pause{0};
  TimePoint paused_until{};
};

}  // namespace currantbeam
