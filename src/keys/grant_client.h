#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "keys/owner_map.h"

namespace currantbeam {

/// A grant call to a server.
struct GrantCall {
  KeyOwner owner;
  KeyRange keys;
  FencingToken token = 0;
  std::chrono::milliseconds ttl{0};  ///< Counted from the grant's arrival.
  std::string handover;  ///< From the ReleaseReply of the last owner, or empty.
  std::chrono::milliseconds timeout{0};
  /// If set, the call is sent only over an open connection with at most this
  /// number; else over any, or over a new one.
  std::optional<ConnectionNumber> max_connection;
};

/// The outcome of a grant call.
enum class GrantReply {
  kAccepted,
  kStaleToken,     ///< The server knows a higher token for one of the keys.
  kMalformed,      ///< The server could not read it, as its handover may be.
  kRejected,       ///< The server responded and did not accept it.
  kConnectFailed,  ///< The server cannot have received the grant.
  kOtherServer,    ///< Another server responded, so the owner has ended.
  kNoConnection,   ///< Not sent: no permitted connection is open and idle.
  kNoResponse,     ///< The server may have the grant, or get it later.
};

/// The result of a grant call.
struct GrantResult {
  GrantReply reply = GrantReply::kNoConnection;
  /// The newest connection at the time when the call was sent.
  ConnectionNumber newest_connection = 0;
};

/// The result of a release call.
struct ReleaseReply {
  /// The server has stopped all work on the keys. If false, it may still run
  /// requests for them.
  bool is_released = false;
  /// The connection failed, so the server cannot have received the release.
  bool has_connect_failed = false;
  /// Opaque state for the next owner, which spares it a cold start; may be
  /// empty.
  std::string handover;
  /// Another server responded at the owner's address, so the owner has ended.
  bool is_other_server = false;
};

/// Sends grants and releases of keys to backend servers. The methods block the
/// calling fiber until the response or the timeout.
class GrantClient {
 public:
  virtual ~GrantClient() = default;

  /// Grants the keys, or renews a grant with the same token.
  virtual auto Grant(const GrantCall& call) -> GrantResult = 0;
  /// Asks the owner to stop all work on the keys and to give up its grant.
  virtual auto Release(const KeyOwner& owner, KeyRange keys, FencingToken token,
                       std::chrono::milliseconds timeout) -> ReleaseReply = 0;
};

}  // namespace currantbeam
