#pragma once

#include <string>

#include "router/attempt_outcome.h"
#include "router/request_context.h"

namespace currantbeam {

/// One attempt of a ForwardedRequest at a backend server; relays the server's
/// response to the caller.
class ServerAttempt {
 public:
  ServerAttempt(RequestContext& request, BackendTarget& target)
      : request(request), target(target) {}

  auto Run() -> AttemptOutcome;
  /// @return whether the request was sent, completely or in part.
  [[nodiscard]] auto WasSent() const -> bool { return this->was_sent; }
  /// @return whether the connection broke off before a response and before the
  ///   deadline, as it does if the server's process ends.
  [[nodiscard]] auto HasLostConnection() const -> bool {
    return this->has_lost_connection;
  }
  /// @return the status of the relayed response; 0 if there was none.
  [[nodiscard]] auto Status() const -> unsigned { return this->status; }

 private:
  /// @return a connection to the server; null if it can't be reached.
  auto Connect() -> std::unique_ptr<HttpConnection>;
  /// @return whether the request may still be sent, after the time that the
  ///   connection took.
  [[nodiscard]] auto MayBeSent() -> bool;
  /// Sends the request and handles the response.
  /// @throws RequestError if the request may have run and no response was
  ///   relayed.
  auto Exchange(HttpConnection& connection, HttpRequestView request)
      -> AttemptOutcome;
  /// @return the request to send; its body is that of the caller's request.
  [[nodiscard]] auto BuildRequest() const -> HttpRequestView;
  /// Returns the connection to the pool; after a refusal, only once the request
  /// has ended.
  auto ReleaseConnection(std::unique_ptr<HttpConnection> connection,
                         AttemptOutcome outcome) -> void;
  /// Reads a body that isn't relayed.
  auto SkipBody(HttpConnection& connection) -> void;
  /// Reads response heads until the one with this request's id.
  auto ReadMatchingResponse(HttpConnection& connection) -> void;
  /// @return whether the response may be relayed. A success must carry the
  ///   server's seal and this request's id, and no content encoding.
  [[nodiscard]] auto IsUsable(HttpConnection& connection) const -> bool;
  /// Records that the server leaves, or for how long it wants no requests.
  auto RecordServerState(const HttpConnection& connection) -> void;
  auto RecordRefusal(HttpConnection& connection, http::status status)
      -> AttemptOutcome;
  auto RecordFailure(const RequestError& error) -> AttemptOutcome;
  auto RecordResponse(unsigned status) -> void;
  /// Relays the response to the caller.
  auto Deliver(HttpConnection& connection) -> AttemptOutcome;
  /// Relays a response in parts as they arrive.
  /// @param buffered  the part of the body that has been read already.
  auto Stream(HttpConnection& connection, const std::string& buffered) -> void;

  RequestContext& request;
  BackendTarget& target;
  TimePoint sent_at{};
  bool was_sent = false;
  bool has_lost_connection = false;
  unsigned status = 0;
};

}  // namespace currantbeam
