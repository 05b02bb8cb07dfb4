#pragma once

#include <optional>
#include <string>
#include <vector>

#include "router/request_context.h"
#include "router/server_attempt.h"

namespace currantbeam {

/// One request on its way from a caller to a backend server and back. Sends
/// it again only where it cannot run twice, or may.
class ForwardedRequest {
 public:
  ForwardedRequest(ForwardingState& state, HttpExchange& exchange);

  /// Forwards the request and answers it.
  auto Run() -> void;

 private:
  /// @return whether there is a route; else the request has been answered.
  auto FindRoute() -> bool;
  auto ReadDeadline() -> void;
  auto Forward() -> void;
  auto RecordKey() -> void;
  /// @return whether the client is known to have closed its connection.
  auto HasClientLeft() -> bool;
  /// @return the server to send to; null after the request was refused.
  auto ChooseTarget() -> BackendTargetPtr;
  auto OwnerTarget(int key) -> BackendTargetPtr;
  auto TryAt(BackendTarget& target) -> AttemptEnd;
  /// Answers the request after an attempt that is not repeated.
  /// @param target  the server of that attempt.
  auto GiveUp(AttemptEnd last, BackendTarget& target) -> void;
  /// @return after which time the client may find room at the server.
  [[nodiscard]] auto RoomWait(BackendTarget& target) const
      -> std::chrono::milliseconds;
  /// @return whether another attempt is made after one that ended so.
  auto MayRetry(AttemptEnd last) -> bool;
  /// Waits for a server that may hold the key after the last one did not.
  /// @return whether the request is worth sending again.
  auto AwaitOwner(const BackendTarget& last) -> bool;
  /// Answers that the request has not run; fails it if that may be untrue.
  auto Refuse(std::string_view reason, std::chrono::milliseconds retry_after,
              const BackendTarget* target = nullptr) -> void;
  auto Fail(http::status status, std::string_view reason) -> void;
  /// Notes how the request ended, for the metrics.
  auto Finish(RequestResult result) -> void;
  auto LogAnswered(const BackendTarget& target, unsigned status) const -> void;

  RequestContext request;
  std::vector<ServerId> tried;
  int sends = 0;
  bool may_have_run = false;
};

}  // namespace currantbeam
