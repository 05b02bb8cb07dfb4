#pragma once

#include <string>

#include "router/attempt_end.h"
#include "router/request_context.h"

namespace currantbeam {

/// One attempt to have a backend server run a request; delivers the server's
/// answer to the caller.
class ServerAttempt {
 public:
  ServerAttempt(RequestContext& request, BackendTarget& target)
      : request(request), target(target) {}

  auto Run() -> AttemptEnd;
  /// @return whether the request was sent, or may have been in part.
  [[nodiscard]] auto WasSent() const -> bool { return this->was_sent; }
  /// @return the status that the caller got; 0 if there was no answer.
  [[nodiscard]] auto Status() const -> unsigned { return this->status; }

 private:
  auto Connect() -> std::unique_ptr<HttpConnection>;
  auto Exchange(HttpConnection& connection) -> AttemptEnd;
  [[nodiscard]] auto BuildRequest() const -> HttpRequest;
  /// Reads answers until the one to this request.
  auto ReadOwnAnswer(HttpConnection& connection) -> void;
  [[nodiscard]] auto IsUsable(HttpConnection& connection) const -> bool;
  auto NoteRefusal(HttpConnection& connection, unsigned status) -> AttemptEnd;
  auto NoteFailure(const RequestError& error) -> AttemptEnd;
  auto NoteAnswer(unsigned status) -> void;
  auto Deliver(HttpConnection& connection) -> AttemptEnd;
  auto Stream(HttpConnection& connection, const std::string& begun) -> void;

  RequestContext& request;
  BackendTarget& target;
  TimePoint sent_at{};
  bool was_sent = false;
  unsigned status = 0;
};

}  // namespace currantbeam
