#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"
#include "http/response_reader.h"
#include "ownership/ownership.h"

namespace currantbeam {

/// How a backend server handled a request.
enum class BackendOutcome {
  kAnswered,
  kShed,      ///< Rejected for lack of capacity; not run.
  kNotOwner,  ///< Rejected for lack of a grant; not run.
};

/// One request that was sent to a backend server; reads its response.
class BackendCall : public ResponseReader {
 public:
  [[nodiscard]] virtual auto Outcome() const -> BackendOutcome = 0;
  /// @return the time that the server reports to have spent on the request, or
  /// nothing if it reports none. Complete once the body has been read, as the
  /// server may send it as a trailer.
  [[nodiscard]] virtual auto BusyTime() const -> std::optional<Duration> = 0;
};

/// A request to a backend server, with the slot it belongs to.
struct BackendRequest {
  const HttpRequest* request = nullptr;
  SlotIndex slot = 0;
  std::chrono::milliseconds deadline{0};
  /// Called right before the first byte is sent.
  /// @return the fencing token to send with the request, or nothing if the
  /// request must not be sent.
  std::function<std::optional<FencingToken>()> authorize;
  /// Called periodically while the request is outstanding; the request is
  /// cancelled if it returns true.
  std::function<bool()> should_cancel;
};

/// Sends grants and requests to backend servers. Call from a fiber, which the
/// calls block until the response or its head is there.
class BackendClient {
 public:
  virtual ~BackendClient() = default;
  /// Sends a grant and returns the server's answer to it.
  /// @throws RequestError if the server did not respond within the timeout or
  /// responded with an error status.
  virtual auto SendGrant(const BackendServer& server, const Grant& grant,
                         std::chrono::milliseconds timeout) -> GrantAnswer = 0;
  /// Sends the request once and reads the head of the response.
  /// @throws RequestError with kNotRun if no byte was sent, kMayHaveRun
  /// otherwise.
  virtual auto Send(const BackendServer& server, const BackendRequest& request)
      -> std::unique_ptr<BackendCall> = 0;
};

}  // namespace currantbeam
