#pragma once

#include <chrono>
#include <string>

#include "keys/owner_map.h"

namespace currantbeam {

/// The result of a grant call.
enum class GrantReply {
  kAccepted,
  kStaleToken,     ///< The server knows a higher token for one of the keys.
  kRejected,       ///< The server responded and did not accept it.
  kConnectFailed,  ///< The server cannot have received the grant.
  kNoResponse,     ///< The server may have the grant, or get it later.
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
};

/// Sends grants and releases of keys to backend servers. The methods block the
/// calling fiber until the response or the timeout.
class GrantClient {
 public:
  virtual ~GrantClient() = default;

  /// @param ttl  time to live of the grant, counted from its arrival.
  /// @param handover  from the ReleaseReply of the last owner; may be empty.
  virtual auto Grant(const KeyOwner& owner, KeyRange keys, FencingToken token,
                     std::chrono::milliseconds ttl, const std::string& handover,
                     std::chrono::milliseconds timeout) -> GrantReply = 0;
  /// Asks the owner to stop all work on the keys and to give up its grant.
  virtual auto Release(const KeyOwner& owner, KeyRange keys, FencingToken token,
                       std::chrono::milliseconds timeout) -> ReleaseReply = 0;
};

}  // namespace currantbeam
