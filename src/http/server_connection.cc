#include "http/server_connection.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <utility>

namespace currantbeam {
namespace {

namespace asio = boost::asio;

/// @return whether the other end has closed the connection, or reset it.
auto IsClosed(int socket) -> bool {
  char byte = 0;
  const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return got <= 0 && !is_quiet;
}

}  // namespace

HttpServer::Connection::Connection(HttpServer& server, TcpSocket socket)
    : server(server),
      stream(std::move(socket)),
      buffer(kMaxBuffered),
      watch(std::make_shared<Watch>()) {}

HttpServer::Connection::~Connection() { this->watch->on_gone = nullptr; }

auto HttpServer::Connection::Run() -> void {
  bool is_open = true;
  while (is_open && this->AwaitRequest()) {
    // From its first byte on, so that a stop waits for it.
    ++this->server.in_hand;
    is_open = this->ServeOne();
    --this->server.in_hand;
  }
  this->Close();
}

auto HttpServer::Connection::Request() const -> const HttpRequest& {
  return this->request;
}

auto HttpServer::Connection::Send(HttpResponse response) -> void {
  this->started = true;
  response.version(11);
  response.keep_alive(this->KeepAlive());
  response.prepare_payload();
  if (this->request.method() == http::verb::head) response.body().clear();
  this->Arm(this->server.options.io_timeout);
  const auto result = Await([&](auto handler) {
    http::async_write(this->stream, response, handler);
  });
  this->CheckWrite(result);
  this->finished = true;
}

auto HttpServer::Connection::StartBody(const http::response_header<>& head,
                                       std::optional<std::uint64_t> length)
    -> void {
  this->started = true;
  http::response<http::empty_body> response{head};
  response.version(11);
  response.keep_alive(this->KeepAlive());
  this->chunked = !length.has_value();
  if (this->chunked) {
    response.chunked(true);
  } else {
    response.content_length(*length);
  }
  http::response_serializer<http::empty_body> serializer(response);
  this->Arm(this->server.options.io_timeout);
  const auto result = Await([&](auto handler) {
    http::async_write_header(this->stream, serializer, handler);
  });
  this->CheckWrite(result);
}

auto HttpServer::Connection::SendBody(std::string_view data) -> void {
  if (data.empty()) return;
  char size[20];
  const auto size_length =
      std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  const std::array<asio::const_buffer, 3> parts = {
      asio::buffer(size,
                   this->chunked ? static_cast<std::size_t>(size_length) : 0),
      asio::buffer(data.data(), data.size()),
      asio::buffer("\r\n", this->chunked ? 2 : 0)};
  this->Arm(this->server.options.io_timeout);
  const auto result = Await(
      [&](auto handler) { asio::async_write(this->stream, parts, handler); });
  this->CheckWrite(result);
}

auto HttpServer::Connection::FinishBody() -> void {
  if (this->chunked) {
    this->Arm(this->server.options.io_timeout);
    const auto result = Await([&](auto handler) {
      asio::async_write(this->stream, asio::buffer("0\r\n\r\n", 5), handler);
    });
    this->CheckWrite(result);
  }
  this->finished = true;
}

auto HttpServer::Connection::Abort() -> void {
  this->broken = true;
  boost::system::error_code ignored;
  // A reset, so that even a close-delimited answer is seen to be cut.
  this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  this->stream.socket().close(ignored);
}

auto HttpServer::Connection::HasStarted() const -> bool {
  return this->started;
}

auto HttpServer::Connection::IsClientGone() const -> bool {
  return this->broken ||
         IsClosed(
             const_cast<TcpStream&>(this->stream).socket().native_handle());
}

auto HttpServer::Connection::WatchClient(std::function<void()> on_gone)
    -> void {
  this->watch->on_gone = std::move(on_gone);
  if (!this->watch->on_gone || this->watch->pending) return;
  this->watch->pending = true;
  // The wait may outlive this connection; it then finds no callback.
  this->stream.socket().async_wait(
      TcpSocket::wait_read,
      [watch = this->watch, fd = this->stream.socket().native_handle()](
          const boost::system::error_code& error) {
        watch->pending = false;
        if (!watch->on_gone || error || !IsClosed(fd)) return;
        const auto callback = std::exchange(watch->on_gone, nullptr);
        callback();
      });
}

auto HttpServer::Connection::CancelIdle() -> void { this->stream.cancel(); }

auto HttpServer::Connection::KeepAlive() const -> bool {
  return this->request.keep_alive() && !this->server.stopping &&
         !this->server.closing;
}

auto HttpServer::Connection::Arm(std::chrono::milliseconds timeout) -> void {
  this->stream.expires_after(timeout);
}

auto HttpServer::Connection::CheckWrite(const AwaitResult& result) -> void {
  if (!result.error) return;
  this->broken = true;
  throw RequestError(Verdict::kMayHaveRun,
                     "client is gone: " + result.error.message());
}

auto HttpServer::Connection::ServeOne() -> bool {
  if (!this->ReadRequest()) return false;
  this->started = false;
  this->finished = false;
  this->HandleOne();
  this->watch->on_gone = nullptr;
  return !this->broken && this->finished && this->KeepAlive();
}

auto HttpServer::Connection::AwaitRequest() -> bool {
  return this->buffer.size() != 0 || this->ReadFirstBytes();
}

auto HttpServer::Connection::ReadRequest() -> bool {
  const auto& limits = this->server.options.limits;
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  auto result = this->ReadHead(parser);
  const bool is_head_late = result.error == asio::error::operation_aborted;
  if (!result.error && !parser.is_done()) {
    this->Arm(this->server.options.io_timeout);
    result = Await([&](auto handler) {
      http::async_read(this->stream, this->buffer, parser, handler);
    });
  }
  if (!result.error) {
    this->request = parser.release();
    return this->CheckFraming();
  }
  if (is_head_late) {
    this->RefuseInput(http::status::request_timeout, "head is late");
  } else if (IsParseError(result.error)) {
    this->RefuseInput(StatusOf(result.error), result.error.message());
  }
  return false;
}

auto HttpServer::Connection::ReadHead(
    http::request_parser<http::string_body>& parser) -> AwaitResult {
  this->stream.expires_never();
  asio::steady_timer timer(this->stream.get_executor());
  // The timer's handler may be due already when the head is in.
  const auto is_waiting = std::make_shared<bool>(true);
  if (!this->HasWholeHead()) {
    timer.expires_after(this->server.options.limits.header_timeout);
    timer.async_wait([this, is_waiting](const auto& error) {
      if (!error && *is_waiting) this->stream.socket().cancel();
    });
  }
  const auto result = Await([&](auto handler) {
    http::async_read_header(this->stream, this->buffer, parser, handler);
  });
  *is_waiting = false;
  return result;
}

auto HttpServer::Connection::HasWholeHead() const -> bool {
  const auto data = this->buffer.cdata();
  const std::string_view text(static_cast<const char*>(data.data()),
                              data.size());
  return text.find("\r\n\r\n") != std::string_view::npos;
}

auto HttpServer::Connection::ReadFirstBytes() -> bool {
  this->buffer.shrink_to_fit();
  this->Arm(this->server.options.limits.idle_timeout);
  this->server.SetIdle(this, true);
  AwaitResult result;
  try {
    result = Await([&](auto handler) {
      this->stream.async_read_some(this->buffer.prepare(kFirstRead), handler);
    });
  } catch (const LoopStopped&) {
    this->server.SetIdle(this, false);
    throw;
  }
  this->server.SetIdle(this, false);
  if (result.error) return false;
  this->buffer.commit(result.bytes);
  return true;
}

auto HttpServer::Connection::CheckFraming() -> bool {
  const auto lengths = this->request.count(http::field::content_length);
  const bool is_chunked =
      this->request.count(http::field::transfer_encoding) != 0;
  if (lengths <= 1 && !(is_chunked && lengths != 0)) return true;
  this->RefuseInput(http::status::bad_request, "ambiguous length");
  return false;
}

auto HttpServer::Connection::IsParseError(
    const boost::system::error_code& error) -> bool {
  const auto& parse_errors =
      http::make_error_code(http::error::end_of_stream).category();
  return error.category() == parse_errors &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

auto HttpServer::Connection::StatusOf(const boost::system::error_code& error)
    -> http::status {
  if (error == http::error::header_limit) {
    return http::status::request_header_fields_too_large;
  }
  if (error == http::error::body_limit) {
    return http::status::payload_too_large;
  }
  return http::status::bad_request;
}

auto HttpServer::Connection::RefuseInput(http::status status,
                                         const std::string& what) -> void {
  HttpResponse response{status, 11};
  SetVerdict(response, Verdict::kNotRun);
  response.set(http::field::content_type, "text/plain");
  response.body() = "request not understood: " + what + "\n";
  this->request = HttpRequest();
  this->request.keep_alive(false);
  try {
    this->Send(std::move(response));
  } catch (const RequestError&) {
    this->broken = true;
  }
  this->server.handler.OnBadInput(what);
}

auto HttpServer::Connection::HandleOne() -> void {
  try {
    this->server.handler.Handle(*this);
  } catch (const std::exception&) {
    this->broken = true;
  }
}

auto HttpServer::Connection::Close() -> void {
  boost::system::error_code ignored;
  if (!this->broken) {
    this->stream.socket().shutdown(TcpSocket::shutdown_send, ignored);
  }
  this->stream.socket().close(ignored);
}

}  // namespace currantbeam
