#pragma once

#include <string>

#include "http/http.h"
#include "store/store.h"

namespace currantbeam {

/// The path at which hosts accept requests to read the store for another host.
constexpr const char* kStoreReadPath = "/store-reads";

/// Sends requests to read the store to other hosts by HTTP.
class HttpPeerLink : public PeerLink {
 public:
  auto Send(const std::string& endpoint, const StoreReadRequest& request,
            std::chrono::milliseconds timeout) -> RowBatch override;
};

/// Responds to requests of other hosts for rows: 200 with a TableUpdate, 410
/// with the epoch if the store no longer has the changes, 429 with the names of
/// other hosts while the copies are being sent to many, 503 if the store does
/// not respond to this host either.
/// @throws InputError if the request is invalid.
auto RespondToStoreRead(HttpExchange& exchange, TableReadServer& reads) -> void;

}  // namespace currantbeam
