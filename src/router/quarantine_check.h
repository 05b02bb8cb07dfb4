#pragma once

#include <optional>

#include "backends/backends.h"
#include "policy/policy.h"
#include "router/request_context.h"

namespace currantbeam {

/// Applies the host's RequestQuarantine to one request. Calculates the
/// request's fingerprint only while some request is quarantined or a suspect,
/// or after a server has ended.
class QuarantineCheck {
 public:
  explicit QuarantineCheck(RequestContext& request) : request(request) {}

  /// @return the time until the request may be sent to a server; nothing if it
  ///   may be sent now.
  auto TimeUntilRelease() -> std::optional<Duration>;
  /// Call before each attempt. Acquires the permit for a suspect request, which
  /// holds for all its attempts.
  /// @return false while a repetition of the request runs elsewhere.
  auto TryStartTrial() -> bool;
  /// Returns the permit, if there is one. Call after the last attempt.
  auto EndTrial() -> void;
  /// Call when a server has answered the request.
  auto OnAnswered(const BackendEntry& server) -> void;
  /// Call when the connection to the server broke off before a response. Blocks
  /// the fiber until it is known whether the server's process has ended.
  auto OnConnectionLost(const BackendEntry& server) -> void;

 private:
  auto Fingerprint() -> RequestFingerprint;

  RequestContext& request;
  std::optional<RequestFingerprint> fingerprint;
  bool has_permit = false;
};

}  // namespace currantbeam
