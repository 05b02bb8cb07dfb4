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

/// What a backend server made of a request.
enum class BackendOutcome {
  kAnswered,
  kShed,      ///< Refused for lack of capacity; not run.
  kNotOwner,  ///< Refused for lack of a grant; not run.
};

/// One request under way at a backend server.
class BackendCall : public ResponseReader {
 public:
  [[nodiscard]] virtual auto Outcome() const -> BackendOutcome = 0;
  /// @return the time that the server says it spent; known at the body's end.
  [[nodiscard]] virtual auto BusyTime() const -> std::optional<Duration> = 0;
};

/// A request as it is sent to a backend server.
struct BackendRequest {
  const HttpRequest* request = nullptr;
  SlotIndex slot = 0;
  std::chrono::milliseconds deadline{0};
  /// Asked right before the first byte leaves.
  /// @return the token to send along, or nothing if the request must not go.
  std::function<std::optional<FencingToken>()> authorize;
  /// Asked while the request is out; true breaks it off.
  std::function<bool()> is_server_lost;
};

/// Talks to backend servers. Call from a fiber.
class BackendClient {
 public:
  virtual ~BackendClient() = default;
  /// @throws RequestError if no answer came.
  virtual auto SendGrant(const BackendServer& server, const Grant& grant,
                         std::chrono::milliseconds timeout) -> GrantAnswer = 0;
  /// Sends the request once.
  /// @throws RequestError with kNotRun if no byte left, kMayHaveRun otherwise.
  virtual auto Send(const BackendServer& server, const BackendRequest& request)
      -> std::unique_ptr<BackendCall> = 0;
};

}  // namespace currantbeam
