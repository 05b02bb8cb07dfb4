#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "http/http_server.h"

namespace currantbeam {

/// The server side of one connection. It handles the requests one after another
/// on a single fiber and is their HttpExchange.
class HttpServer::Connection : public HttpExchange {
 public:
  Connection(HttpServer& server, TcpSocket socket);
  ~Connection() override;

  /// Handles requests until the connection ends or the server stops.
  auto Run() -> void;

  [[nodiscard]] auto Request() const -> const HttpRequest& override;
  auto Send(HttpResponse response) -> void override;
  auto StartBody(const http::response_header<>& head,
                 std::optional<std::uint64_t> length) -> void override;
  auto SendBody(std::string_view data) -> void override;
  auto FinishBody() -> void override;
  auto Abort() -> void override;
  [[nodiscard]] auto HasStarted() const -> bool override;
  [[nodiscard]] auto IsClientDisconnected() const -> bool override;
  auto SetDisconnectCallback(std::function<void()> on_disconnect)
      -> void override;

  /// Cancels the pending read: of an idle connection, which closes it, or of a
  /// request, which rejects it.
  auto CancelRead() -> void;

 private:
  /// State of the asynchronous wait for a disconnect by the client; shared with
  /// its completion handler, which may run after the connection is destroyed.
  struct DisconnectWatch {
    std::function<void()> on_disconnect;
    bool pending = false;
  };

  static constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;
  static constexpr std::size_t kFirstReadBytes = 4096;
  [[nodiscard]] auto KeepAlive() const -> bool;
  /// Sets the timeout of the next operation on the stream.
  auto SetTimeout(std::chrono::milliseconds timeout) -> void;
  /// @throws RequestError if the write failed.
  auto CheckWrite(const AwaitResult& result) -> void;

  /// Reads and handles one request.
  /// @return whether the connection stays open for another request.
  auto ServeRequest() -> bool;

  /// Waits for the first bytes of the next request.
  /// @return false if the connection was closed or timed out instead.
  auto AwaitRequest() -> bool;
  /// Reads a whole request into `request`; rejects it if it is malformed, too
  /// large or too slow.
  /// @return whether there is a request to handle.
  auto ReadRequest() -> bool;

  /// Reads a whole request.
  /// @return operation_aborted if it is late or the server rejects what is
  ///   unread; the socket stays open for an error response.
  auto ReadMessage(http::request_parser<http::string_body>& parser)
      -> AwaitResult;
  /// Reads the head of a request, within HttpLimits::header_timeout.
  /// @return operation_aborted after the timeout; the socket stays open for an
  ///   error response.
  auto ReadHead(http::request_parser<http::string_body>& parser) -> AwaitResult;
  [[nodiscard]] auto HasCompleteHead() const -> bool;
  /// Reads the body of a request, within Options::io_timeout.
  /// @return operation_aborted after the timeout, and no_buffer_space if there
  ///   is no memory for it; the socket stays open for an error response.
  auto ReadBody(http::request_parser<http::string_body>& parser) -> AwaitResult;

  /// Reads the first bytes of the next request, within
  /// HttpLimits::idle_timeout.
  /// @return false if the connection was closed or timed out instead.
  auto ReadFirstBytes() -> bool;
  /// Reads bytes while the connection counts as idle. A limit that is raised
  /// meanwhile applies to this wait, too.
  /// @return operation_aborted after the idle timeout or CancelRead(); the
  ///   socket stays open.
  auto AwaitFirstBytes() -> AwaitResult;
  /// @return the time until the idle timeout; negative after it.
  [[nodiscard]] auto IdleTimeLeft(
      std::chrono::steady_clock::time_point idle_since) const
      -> std::chrono::milliseconds;
  /// Reads into the buffer, without committing the bytes.
  auto ReadSome() -> AwaitResult;

  /// Rejects a request whose body length is ambiguous, as another server could
  /// parse it differently (request smuggling), and one with a transfer coding
  /// other than chunked, whose body the parser would take for the next request
  /// or leave encoded. TRACE has no body at all.
  /// @return whether the request was accepted.
  auto CheckFraming() -> bool;
  static auto IsParseError(const boost::system::error_code& error) -> bool;
  static auto StatusOf(const boost::system::error_code& error) -> http::status;
  /// Reserves memory for the body of a request, of which a part may have been
  /// read.
  /// @return false if there is none.
  auto ReserveBody(const http::request_parser<http::string_body>& parser)
      -> bool;
  /// Sends an error response, closes the connection and notifies the handler.
  /// @param retry_after  sent as Retry-After, if positive.
  auto RejectInput(http::status status, const std::string& reason,
                   std::chrono::seconds retry_after = std::chrono::seconds(0))
      -> void;
  /// Calls the handler; an exception from it closes the connection.
  auto HandleRequest() -> void;
  auto Close() -> void;

  HttpServer& server;
  TcpStream stream;
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  ByteBudget::Reservation body_reservation;
  std::shared_ptr<DisconnectWatch> client_watch;
  bool response_started = false;
  bool response_finished = false;
  bool broken = false;
  bool chunked = false;
};

}  // namespace currantbeam
