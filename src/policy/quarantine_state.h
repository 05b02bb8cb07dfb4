#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// A hash of a request's content and its caller. Repetitions of a request have
/// the same fingerprint.
using RequestFingerprint = std::uint64_t;
/// @return the fingerprint as log lines have it, in hexadecimal.
auto FormatFingerprint(RequestFingerprint request) -> std::string;

/// One process of a backend server.
struct ServerProcess {
  ServerId id;
  std::chrono::milliseconds started{0};  ///< By the server's own clock.

  friend auto operator<(const ServerProcess& a, const ServerProcess& b)
      -> bool {
    return std::tie(a.id, a.started) < std::tie(b.id, b.started);
  }
};

/// The end of a server process while it ran requests.
struct ServerEnd {
  ServerProcess process;
  Duration age{0};  ///< Time since the end.
  /// The requests that ran there and have not been answered by any server.
  std::set<RequestFingerprint> suspects;
  /// Former suspects that a server has answered.
  std::set<RequestFingerprint> cleared;
};

/// A request that is refused for some time because servers ended under it.
struct QuarantinedRequest {
  RequestFingerprint request = 0;
  int count = 1;  ///< How many times it was quarantined.
  /// Time until the request may run again; negative after that.
  Duration remaining{0};
  bool is_cleared = false;  ///< A server has answered it.
};

/// What a host knows about requests under which servers ended. Hosts exchange
/// it. Times are relative to the moment of sending.
struct QuarantineState {
  std::vector<ServerEnd> ends;
  std::vector<QuarantinedRequest> quarantined;

  [[nodiscard]] auto IsEmpty() const -> bool {
    return this->ends.empty() && this->quarantined.empty();
  }
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded state, or is larger than
  ///   what a RequestQuarantine keeps.
  static auto Decode(const std::string& text) -> QuarantineState;
};

}  // namespace currantbeam
