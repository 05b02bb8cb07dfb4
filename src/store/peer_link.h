#pragma once

#include <string>
#include <utility>
#include <vector>

#include "store/store_client.h"
#include "store/store_read_request.h"

namespace currantbeam {

/// A host sends its copies to as many hosts as its link allows; others have the
/// same rows.
class CopyBusy : public StoreError {
 public:
  /// @param others  the ADDRESS:PORT of hosts that have received the rows; may
  ///   be empty.
  explicit CopyBusy(std::vector<std::string> others)
      : StoreError("host: busy sending"), others(std::move(others)) {}
  [[nodiscard]] auto Others() const -> const std::vector<std::string>& {
    return this->others;
  }

 private:
  std::vector<std::string> others;
};

/// Sends requests for rows to other hosts.
class PeerLink {
 public:
  virtual ~PeerLink() = default;
  /// @param endpoint  of the other host.
  /// @param timeout  until the response begins; it may then take as long as it
  ///   makes progress.
  /// @return the rows that the store sent the other host, or those of its copy.
  /// @throws CopyBusy if the other host sends its copies to others.
  /// @throws HistoryLost if the store said so.
  /// @throws StoreError if the other host did not respond in time, or did not
  ///   get a response from the store.
  virtual auto Send(const std::string& endpoint,
                    const StoreReadRequest& request,
                    std::chrono::milliseconds timeout) -> RowBatch = 0;
};

}  // namespace currantbeam
