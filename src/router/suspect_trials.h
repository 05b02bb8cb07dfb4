#pragma once

#include "policy/policy.h"

namespace currantbeam {

/// Lets one repetition of a suspect request at a time be sent to a server, of
/// all hosts together. Call from a fiber.
class SuspectTrials {
 public:
  virtual ~SuspectTrials() = default;
  /// Waits for the permit no longer than `length`.
  /// @param length  how long the request may take at most.
  /// @return whether it may be sent now.
  virtual auto Acquire(RequestFingerprint request, Duration length) -> bool = 0;
  /// Call once the request that acquired a permit has ended at the server.
  virtual auto Release(RequestFingerprint request) -> void = 0;
};

}  // namespace currantbeam
