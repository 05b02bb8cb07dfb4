#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "runtime/runtime.h"
#include "store/relayed_store.h"
#include "store/store_client.h"
#include "store/store_read_request.h"

namespace currantbeam {

/// Reads tables for other hosts: from this host's copy if that has large
/// changes which they lack, else from the store. Runs on one loop.
class TableReadServer {
 public:
  /// Sends an update; returns when it has been sent.
  using SendUpdate = std::function<void(const TableUpdate&)>;

  /// @param own_store  calls the store itself, not other hosts.
  /// @param link_mbps  the bandwidth of this host's link in Mbit/s.
  TableReadServer(RelayedStore& copies, StoreReader& own_store,
                  double link_mbps, unsigned seed);

  /// Sends the rows that were asked for.
  /// @throws CopyBusy if too much is being sent from the copies.
  /// @throws HistoryLost if the store said so.
  /// @throws StoreError if the copy is not newer and only that was asked
  ///   for, or the store does not respond.
  auto Serve(const StoreReadRequest& request, const SendUpdate& send) -> void;

 private:
  /// The latest rows from the store that were compressed.
  struct CompressedRows {
    std::string table;
    std::string partition;
    std::optional<StoreVersion> after;
    StoreVersion version;
    std::shared_ptr<const std::string> rows;
  };
  /// A host that has received rows of a copy.
  struct Receiver {
    std::string endpoint;
    std::string table;
    StoreVersion version;
  };

  auto SendCopy(const TableUpdate& update, const StoreReadRequest& request,
                const SendUpdate& send) -> void;
  /// @return some hosts that have received the table in this version or a later
  ///   one.
  auto ChooseReceivers(const TableUpdate& update) -> std::vector<std::string>;
  auto ReadStore(const StoreReadRequest& request) -> TableUpdate;
  /// Compresses the rows if they are large, once for all hosts that ask for the
  /// same ones.
  auto CompressIfLarge(const StoreReadRequest& request, TableUpdate& update)
      -> void;

  RelayedStore& copies;
  StoreReader& own_store;
  std::size_t max_bytes_in_flight;
  std::mt19937 random;
  std::size_t bytes_in_flight = 0;  ///< Of copies that are being sent.
  std::deque<Receiver> receivers;   ///< The latest ones.
  CompressedRows compressed;
};

}  // namespace currantbeam
