#pragma once

#include <random>
#include <string>

#include "store/peer_link.h"
#include "store/table_update.h"

namespace currantbeam {

/// Rows from the copy of another host.
struct FetchedCopy {
  RowBatch batch;
  TimePoint requested_at{};  ///< When the host that sent them was asked.
};

/// Fetches large changes of a table from the hosts that have them: from the one
/// that announced them, or from one that it names while it is busy sending them
/// to others. A transfer goes on while it makes progress. Runs on one loop.
class CopyFetcher {
 public:
  /// @param own_endpoint  ADDRESS:PORT of this host, which other hosts are sent
  ///   to.
  CopyFetcher(PeerLink& link, const Clock& clock, std::string own_endpoint,
              unsigned seed)
      : link(link),
        clock(clock),
        own_endpoint(std::move(own_endpoint)),
        random(seed) {}

  /// @param announced_by  ADDRESS:PORT of the host that announced the rows.
  /// @param after  the version of this host's copy; number 0 if it has none.
  /// @throws StoreError if no host sends them.
  auto Fetch(const TableAnnouncement& announcement,
             const std::string& announced_by, StoreVersion after)
      -> FetchedCopy;

 private:
  auto FetchFrom(const std::string& endpoint, const StoreReadRequest& request)
      -> FetchedCopy;
  /// Waits for a short random time.
  auto Pause() -> void;

  PeerLink& link;
  const Clock& clock;
  std::string own_endpoint;
  std::mt19937 random;
};

}  // namespace currantbeam
