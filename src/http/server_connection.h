#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>

#include "http/http_server.h"

namespace currantbeam {

/// The server's end of one connection, serving one request after another.
class HttpServer::Connection : public HttpExchange {
 public:
  Connection(HttpServer& server, TcpSocket socket);
  ~Connection() override;

  /// Serves until the connection ends.
  auto Run() -> void;

  [[nodiscard]] auto Request() const -> const HttpRequest& override;
  auto Send(HttpResponse response) -> void override;
  auto StartBody(const http::response_header<>& head,
                 std::optional<std::uint64_t> length) -> void override;
  auto SendBody(std::string_view data) -> void override;
  auto FinishBody() -> void override;
  auto Abort() -> void override;
  [[nodiscard]] auto HasStarted() const -> bool override;
  [[nodiscard]] auto IsClientGone() const -> bool override;
  auto WatchClient(std::function<void()> on_gone) -> void override;

  /// Ends the wait for a request. Call while the connection is idle.
  auto CancelIdle() -> void;

 private:
  /// What tells that the client has closed its connection.
  struct Watch {
    std::function<void()> on_gone;
    bool pending = false;
  };

  static constexpr std::size_t kMaxBuffered = 1024 * 1024;
  static constexpr std::size_t kFirstRead = 4096;
  [[nodiscard]] auto KeepAlive() const -> bool;
  /// Has the next operation fail if it takes longer.
  auto Arm(std::chrono::milliseconds timeout) -> void;
  /// @throws RequestError if the write failed.
  auto CheckWrite(const AwaitResult& result) -> void;

  /// Reads, handles and answers a request.
  /// @return whether the connection may carry another one.
  auto ServeOne() -> bool;

  /// Waits for the first bytes of a request.
  auto AwaitRequest() -> bool;
  /// @return whether there is a request to handle; else it was refused.
  auto ReadRequest() -> bool;

  /// Reads a request's head within the time that it may take.
  /// @return operation_aborted if it is late; the connection stays open, so
  ///   that the client can be told.
  auto ReadHead(http::request_parser<http::string_body>& parser) -> AwaitResult;
  [[nodiscard]] auto HasWholeHead() const -> bool;

  /// Waits for the next request as long as a kept connection may be idle.
  auto ReadFirstBytes() -> bool;

  /// Refuses a request that peers could frame in more than one way.
  auto CheckFraming() -> bool;
  static auto IsParseError(const boost::system::error_code& error) -> bool;
  static auto StatusOf(const boost::system::error_code& error) -> http::status;
  /// Answers input that is no request, and tells the handler.
  auto RefuseInput(http::status status, const std::string& what) -> void;
  /// Has the request handled; a handler that fails breaks the connection.
  auto HandleOne() -> void;
  auto Close() -> void;

  HttpServer& server;
  TcpStream stream;
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  std::shared_ptr<Watch> watch;
  bool started = false;
  bool finished = false;
  bool broken = false;
  bool chunked = false;
};

}  // namespace currantbeam
