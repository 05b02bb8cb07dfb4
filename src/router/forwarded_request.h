#pragma once

#include <optional>
#include <string>
#include <vector>

#include "router/request_forwarder.h"

namespace currantbeam {

/// One request on its way from a caller to a backend server and back. Sends
/// it again only where it cannot run twice, or may.
class ForwardedRequest {
 public:
  ForwardedRequest(ForwardingState& state, HttpExchange& exchange);

  /// Forwards the request and answers it.
  auto Run() -> void;

 private:
  /// How one attempt at a server ended.
  enum class Attempt {
    kAnswered,    ///< The caller has its answer, or it broke off midway.
    kNotRun,      ///< The server cannot have run it.
    kWrongOwner,  ///< The server does not hold the key; it did not run it.
    kMayHaveRun,
    kClientGone,
  };

  auto ReadDeadline() -> void;
  auto Forward() -> void;
  auto RecordKey() -> void;
  /// @return the server to send to; null after the request was refused.
  auto ChooseTarget() -> BackendTargetPtr;
  auto OwnerTarget(int key) -> BackendTargetPtr;
  auto TryAt(const BackendTargetPtr& target) -> Attempt;
  auto Exchange(BackendTarget& target, HttpConnection& connection,
                TimePoint sent) -> Attempt;
  /// Reads answers until the one to this request.
  auto ReadOwnAnswer(HttpConnection& connection) -> void;
  auto Deliver(BackendTarget& target, HttpConnection& connection,
               TimePoint sent) -> Attempt;
  auto Stream(HttpConnection& connection, const std::string& begun) -> Attempt;
  /// @return whether another attempt is made after one that ended so.
  auto MayRetry(Attempt last) -> bool;
  /// Waits for a server that may hold the key after the last one did not.
  /// @return whether the request is worth sending again.
  auto AwaitOwner(const BackendTarget& last) -> bool;
  auto NoteRefusal(BackendTarget& target, HttpConnection& connection,
                   unsigned status) -> Attempt;
  auto BuildRequest(const BackendTarget& target) const -> HttpRequest;
  [[nodiscard]] auto IsUsableAnswer(HttpConnection& connection) const -> bool;
  [[nodiscard]] auto Left() const -> std::chrono::milliseconds;
  [[nodiscard]] auto Key() const -> std::optional<int>;
  /// Answers that the request has not run; fails it if that may be untrue.
  auto Refuse(std::string_view reason, std::chrono::milliseconds retry_after)
      -> void;
  auto Answer(HttpResponse response) -> void;
  auto Fail(http::status status, std::string_view reason) -> void;
  auto RequestId() const -> std::string_view;

  ForwardingState& state;
  HttpExchange& exchange;
  TimePoint arrived;
  TimePoint deadline;
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const Route* route = nullptr;
  ServiceName service;
  bool is_keyed = false;
  std::vector<ServerId> tried;
  int sends = 0;
  bool may_have_run = false;
  bool is_client_gone = false;
  HttpConnection* current = nullptr;  ///< Broken off if the client leaves.
};

}  // namespace currantbeam
