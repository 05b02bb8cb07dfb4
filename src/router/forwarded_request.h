#pragma once

#include <optional>
#include <string>
#include <vector>

#include "router/quarantine_check.h"
#include "router/request_context.h"
#include "router/server_attempt.h"

namespace currantbeam {

/// Forwards one request from a caller to a backend server, with retries. A
/// request that may have run is retried only if it is idempotent.
class ForwardedRequest {
 public:
  ForwardedRequest(ForwardingState& state, HttpExchange& exchange);

  /// Forwards the request and responds to the caller. Blocks the fiber until
  /// the request has ended.
  auto Run() -> void;

 private:
  /// Finds the route of the request, and responds with an error if there is
  /// none.
  /// @return whether there is a route.
  auto FindRoute() -> bool;
  /// Sets the deadline to the earlier of the route's timeout and the client's.
  auto ReadDeadline() -> void;
  /// Sends the request to one server after another until one responds or it
  /// can't be retried.
  auto Forward() -> void;
  /// Refuses the request if it is quarantined, or if it is a suspect and a
  /// repetition of it runs.
  /// @return whether it was refused.
  auto RefuseIfSuspect() -> bool;
  auto RefuseIfQuarantined() -> bool;
  /// @return whether the stop of the process could cut the request, or its
  ///   retry, at this server, so that it must not be sent.
  [[nodiscard]] auto MayOutlastStop(const BackendTarget& target) const -> bool;
  /// Counts the request in the load of its key's stripe.
  auto RecordKeyLoad() -> void;
  /// @return the server for the next attempt; null if there is none, in which
  ///   case the request has been refused.
  auto ChooseTarget() -> BackendTargetPtr;
  /// @return the server that owns the key; null if it is unknown or can't run
  ///   the request now, in which case the request has been refused.
  auto FindOwnerTarget(int key) -> BackendTargetPtr;
  /// Refuses the request, as none of the servers can be sent it now.
  auto RefuseWithoutServer(const std::vector<BackendTargetPtr>& servers)
      -> void;
  /// @return the time until the server wants requests again; nothing if it does
  ///   now.
  [[nodiscard]] auto PauseLeft(const BackendTarget& target) const
      -> std::optional<std::chrono::milliseconds>;
  /// @return the time until the first of the servers wants requests again;
  ///   nothing if one of them does now.
  [[nodiscard]] auto PauseLeft(const std::vector<BackendTargetPtr>& servers)
      const -> std::optional<std::chrono::milliseconds>;
  /// Asks the server whether it serves, if that isn't known.
  /// @return whether the request may be sent to it.
  auto ConfirmServing(const BackendTargetPtr& target) -> bool;
  auto RunAttempt(BackendTarget& target) -> AttemptOutcome;
  /// Responds with an error after an attempt that is not retried.
  /// @param target  the server of that attempt.
  auto RespondAfterLastAttempt(AttemptOutcome last, BackendTarget& target)
      -> void;
  /// @return the Retry-After value for a refusal by this server: when it is
  ///   expected to have capacity for this client.
  [[nodiscard]] auto TimeToRetryAfter(BackendTarget& target) const
      -> std::chrono::milliseconds;
  /// @return whether the request may be retried after an attempt with this
  ///   outcome; if so, it has been counted against the retry budget where
  ///   that applies.
  auto MayRetry(AttemptOutcome last) -> bool;
  /// Waits for another owner of the key after the last server reported that it
  /// does not own it.
  /// @return whether to send the request again: to the new owner, or once more
  ///   to the last server, which may not have received its grant yet.
  auto AwaitOwner(const BackendTarget& last) -> bool;
  /// Responds with 503 and the verdict kNotRun; calls Fail instead if an
  /// earlier attempt may have run the request.
  /// @param target  the server whose load is logged; may be null.
  auto Refuse(std::string_view reason, std::chrono::milliseconds retry_after,
              const BackendTarget* target = nullptr) -> void;
  /// Responds with an error and the verdict: kMayHaveRun if an attempt may
  /// have run the request, else kNotRun.
  auto Fail(http::status status, std::string_view reason) -> void;
  /// Counts the result and the latency of the request in the metrics.
  auto RecordResult(RequestResult result) -> void;
  auto LogResponse(const BackendTarget& target, unsigned status) const -> void;

  RequestContext request;
  QuarantineCheck quarantine_check{this->request};
  std::vector<ServerId> tried_servers;
  int unconfirmed_count = 0;  ///< Chosen servers that were not known to serve.
};

}  // namespace currantbeam
