#pragma once

#include <chrono>
#include <string>

#include "keys/owner_map.h"

namespace currantbeam {

enum class GrantReply {
  kAccepted,
  kStaleFence,  ///< The server has seen a higher token on one of the keys.
  kRefused,     ///< It answered, and took nothing.
  kNoContact,   ///< There was no connection; it cannot have taken the grant.
  kNoAnswer,    ///< It may have taken the grant, or may take it later.
};

/// What a server made of a release.
struct ReleaseReply {
  /// It has stopped all work on the keys; if false, it may go on.
  bool is_released = false;
  /// There was no connection.
  bool is_out_of_contact = false;
  /// What spares the next owner a slow start; may be empty.
  std::string hand_over;
};

/// Grants keys to backend servers. Call from a fiber.
class GrantClient {
 public:
  virtual ~GrantClient() = default;

  /// @param hold  how long the grant lasts from its arrival.
  /// @param hand_over  from the release of the last owner; may be empty.
  virtual auto Grant(const KeyOwner& owner, KeyRange keys, FencingToken fence,
                     std::chrono::milliseconds hold,
                     const std::string& hand_over,
                     std::chrono::milliseconds timeout) -> GrantReply = 0;
  virtual auto Release(const KeyOwner& owner, KeyRange keys, FencingToken fence,
                       std::chrono::milliseconds timeout) -> ReleaseReply = 0;
};

}  // namespace currantbeam
