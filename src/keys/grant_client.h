#pragma once

#include <chrono>
#include <string>

#include "keys/owner_map.h"

namespace currantbeam {

enum class GrantReply {
  kAccepted,
  kStaleToken,     ///< The server has seen a higher token on one of the keys.
  kRejected,       ///< It answered, and took nothing.
  kConnectFailed,  ///< There was no connection; it cannot have taken the grant.
  kNoResponse,     ///< It may have taken the grant, or may take it later.
};

/// What a server made of a release.
struct ReleaseReply {
  /// It has stopped all work on the keys; if false, it may go on.
  bool is_released = false;
  /// There was no connection.
  bool has_connect_failed = false;
  /// What spares the next owner a slow start; may be empty.
  std::string handover;
};

/// Grants keys to backend servers. Call from a fiber.
class GrantClient {
 public:
  virtual ~GrantClient() = default;

  /// @param hold  how long the grant lasts from its arrival.
  /// @param hand_over  from the release of the last owner; may be empty.
  virtual auto Grant(const KeyOwner& owner, KeyRange keys, FencingToken token,
                     std::chrono::milliseconds ttl, const std::string& handover,
                     std::chrono::milliseconds timeout) -> GrantReply = 0;
  virtual auto Release(const KeyOwner& owner, KeyRange keys, FencingToken token,
                       std::chrono::milliseconds timeout) -> ReleaseReply = 0;
};

}  // namespace currantbeam
