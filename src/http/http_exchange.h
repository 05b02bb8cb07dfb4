#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"

namespace currantbeam {

/// One request of a client and the answer to it. An answer is either sent
/// whole, or as a head and chunks of a body; an answer that is not finished
/// never ends cleanly at the client.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual auto Request() const -> const HttpRequest& = 0;
  /// Sends a whole answer.
  /// @throws RequestError if the client is gone.
  virtual auto Send(HttpResponse response) -> void = 0;
  /// Sends the head of an answer whose body follows.
  /// @param length  the body's length in bytes, if it is known.
  /// @throws RequestError if the client is gone.
  virtual auto StartBody(const http::response_header<>& head,
                         std::optional<std::uint64_t> length) -> void = 0;
  /// Sends a part of the body; returns when the client has taken it up.
  virtual auto SendBody(std::string_view data) -> void = 0;
  virtual auto FinishBody() -> void = 0;
  /// Breaks the connection, so that the client sees that the answer is cut.
  virtual auto Abort() -> void = 0;
  /// @return true once the head of an answer has been sent.
  [[nodiscard]] virtual auto HasStarted() const -> bool = 0;
  /// @return true if the client has closed its connection.
  [[nodiscard]] virtual auto IsClientGone() const -> bool = 0;
  /// Has the callback called once, on the exchange's loop, if the client
  /// closes its connection before the exchange ends; empty to stop watching.
  virtual auto WatchClient(std::function<void()> on_gone) -> void = 0;
};

/// Answers the requests that a server receives; called on a fiber each.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual auto Handle(HttpExchange& exchange) -> void = 0;
  /// Told of input that could not be understood, after it was answered.
  virtual auto OnBadInput(const std::string& what) -> void = 0;
};

}  // namespace currantbeam
