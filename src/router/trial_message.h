#pragma once

#include <string>

#include "policy/policy.h"

namespace currantbeam {

/// Asks the coordinator for the permit to send a suspect request, or returns
/// it. Carries what the sender knows of requests that end servers; the reply to
/// it is the coordinator's QuarantineState.
struct TrialMessage {
  RequestFingerprint request = 0;
  bool is_release = false;
  Duration length{0};  ///< After which the permit ends by itself.
  QuarantineState quarantine;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded message.
  static auto Decode(const std::string& text) -> TrialMessage;
};

}  // namespace currantbeam
