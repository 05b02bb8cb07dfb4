#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"

namespace currantbeam {

/// One request that a server received, and the response to it. The response is
/// sent either whole with Send(), or with StartBody(), SendBody() and
/// FinishBody(). If the response is not finished, the client sees a truncated
/// one, never one that looks complete.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual auto Request() const -> const HttpRequest& = 0;
  /// Sends a whole response.
  /// @throws RequestError if the client has disconnected or the write times
  /// out.
  virtual auto Send(HttpResponse response) -> void = 0;
  /// Sends the head of a response whose body follows.
  /// @param length  the body's length in bytes; without it, the body is sent
  ///   chunked.
  /// @throws RequestError if the client has disconnected or the write times
  /// out.
  virtual auto StartBody(const http::response_header<>& head,
                         std::optional<std::uint64_t> length) -> void = 0;
  /// Sends a part of the body; returns when it has been written to the socket.
  /// @throws RequestError if the client has disconnected or the write times
  /// out.
  virtual auto SendBody(std::string_view data) -> void = 0;
  /// Ends the response that StartBody() began.
  /// @throws RequestError if the client has disconnected or the write times
  /// out.
  virtual auto FinishBody() -> void = 0;
  /// Resets the connection, so that the client detects a truncated response.
  virtual auto Abort() -> void = 0;
  /// @return true once sending the response has begun.
  [[nodiscard]] virtual auto HasStarted() const -> bool = 0;
  /// @return true if the client has closed its connection.
  [[nodiscard]] virtual auto IsClientDisconnected() const -> bool = 0;
  /// Sets a callback that is called once, on the exchange's loop, if the client
  /// closes its connection before the exchange ends. An empty callback removes
  /// the previous one.
  virtual auto SetDisconnectCallback(std::function<void()> on_disconnect)
      -> void = 0;
};

/// Handles the requests that an HttpServer receives.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /// Handles one request and sends its response; called on the fiber of the
  /// request's connection. If it throws, the connection is closed.
  virtual auto Handle(HttpExchange& exchange) -> void = 0;
  /// Called after a request that is malformed, too large or too slow has been
  /// rejected.
  /// @param reason  the reason for the rejection, for the log.
  virtual auto OnBadInput(const std::string& reason) -> void = 0;
};

}  // namespace currantbeam
