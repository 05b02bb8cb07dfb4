#include "http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
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

/// The bytes that a body may take in chunks, for each byte of its length. The
/// smallest chunk takes 6 bytes.
constexpr std::uint64_t kMaxEncodedLength = 8;

/// Large requests end within some seconds.
constexpr auto kNoMemoryRetryAfter = std::chrono::seconds(1);
/// A string that grows may have this multiple of its size as its capacity.
constexpr std::uint64_t kMaxGrowth = 2;

/// @return whether the peer has closed or reset the connection.
auto IsClosed(int socket) -> bool {
  char byte = 0;
  const auto received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool would_block =
      received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return received <= 0 && !would_block;
}

/// @return whether the socket has received bytes that were not read yet.
auto HasUnreadBytes(int socket) -> bool {
  char byte = 0;
  return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Cancels the socket's pending read after a timeout, unless it is destroyed
/// before. The socket stays open, unlike after a timeout of the stream.
class ReadTimeout {
 public:
  ReadTimeout(TcpSocket& socket, std::chrono::milliseconds timeout)
      : timer(socket.get_executor()) {
    this->timer.expires_after(timeout);
    this->timer.async_wait(
        [&socket, is_waiting = this->is_waiting](const auto& error) {
          if (!error && *is_waiting) socket.cancel();
        });
  }
  ~ReadTimeout() { *this->is_waiting = false; }
  ReadTimeout(const ReadTimeout&) = delete;
  auto operator=(const ReadTimeout&) -> ReadTimeout& = delete;

 private:
  asio::steady_timer timer;
  /// The timer's handler may already be queued when the read has ended.
  std::shared_ptr<bool> is_waiting = std::make_shared<bool>(true);
};

}  // namespace

HttpServer::Connection::Connection(HttpServer& server, TcpSocket socket)
    : server(server),
      stream(std::move(socket)),
      buffer(kMaxBufferedBytes),
      body_reservation(server.body_budget),
      client_watch(std::make_shared<DisconnectWatch>()) {}

HttpServer::Connection::~Connection() {
  this->server.SetReading(this, false);
  this->client_watch->on_disconnect = nullptr;
}

auto HttpServer::Connection::Run() -> void {
  bool is_open = true;
  while (is_open && this->AwaitRequest()) {
    // Counted from its first byte on, so that Drain() waits for it.
    ++this->server.in_flight;
    is_open = this->ServeRequest();
    --this->server.in_flight;
  }
  this->Close();
}

auto HttpServer::Connection::Request() const -> const HttpRequest& {
  return this->request;
}

auto HttpServer::Connection::Send(HttpResponse response) -> void {
  this->response_started = true;
  response.version(11);
  response.keep_alive(this->KeepAlive());
  response.prepare_payload();
  if (this->request.method() == http::verb::head) response.body().clear();
  this->SetTimeout(this->server.options.io_timeout);
  const auto result = Await([&](auto handler) {
    http::async_write(this->stream, response, handler);
  });
  this->CheckWrite(result);
  this->response_finished = true;
}

auto HttpServer::Connection::StartBody(const http::response_header<>& head,
                                       std::optional<std::uint64_t> length)
    -> void {
  this->response_started = true;
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
  this->SetTimeout(this->server.options.io_timeout);
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
  this->SetTimeout(this->server.options.io_timeout);
  const auto result = Await(
      [&](auto handler) { asio::async_write(this->stream, parts, handler); });
  this->CheckWrite(result);
}

auto HttpServer::Connection::FinishBody() -> void {
  if (this->chunked) {
    this->SetTimeout(this->server.options.io_timeout);
    const auto result = Await([&](auto handler) {
      asio::async_write(this->stream, asio::buffer("0\r\n\r\n", 5), handler);
    });
    this->CheckWrite(result);
  }
  this->response_finished = true;
}

auto HttpServer::Connection::Abort() -> void {
  this->broken = true;
  boost::system::error_code ignored;
  // Linger 0 sends a reset instead of a regular close, so that the client
  // detects even a truncated response that is delimited by the close.
  this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  this->stream.socket().close(ignored);
}

auto HttpServer::Connection::HasStarted() const -> bool {
  return this->response_started;
}

auto HttpServer::Connection::IsClientDisconnected() const -> bool {
  return this->broken ||
         IsClosed(
             const_cast<TcpStream&>(this->stream).socket().native_handle());
}

auto HttpServer::Connection::SetDisconnectCallback(
    std::function<void()> on_disconnect) -> void {
  this->client_watch->on_disconnect = std::move(on_disconnect);
  if (!this->client_watch->on_disconnect || this->client_watch->pending) return;
  this->client_watch->pending = true;
  // The wait may complete after this connection is destroyed; the destructor
  // removes the callback.
  this->stream.socket().async_wait(
      TcpSocket::wait_read, [client_watch = this->client_watch,
                             fd = this->stream.socket().native_handle()](
                                const boost::system::error_code& error) {
        client_watch->pending = false;
        if (!client_watch->on_disconnect || error || !IsClosed(fd)) return;
        const auto callback =
            std::exchange(client_watch->on_disconnect, nullptr);
        callback();
      });
}

auto HttpServer::Connection::CancelRead() -> void { this->stream.cancel(); }

auto HttpServer::Connection::KeepAlive() const -> bool {
  return this->request.keep_alive() && !this->server.stopping &&
         !this->server.close_after_response;
}

auto HttpServer::Connection::SetTimeout(std::chrono::milliseconds timeout)
    -> void {
  this->stream.expires_after(timeout);
}

auto HttpServer::Connection::CheckWrite(const AwaitResult& result) -> void {
  if (!result.error) return;
  this->broken = true;
  throw RequestError(Verdict::kMayHaveRun,
                     "client disconnected: " + result.error.message());
}

auto HttpServer::Connection::ServeRequest() -> bool {
  if (!this->ReadRequest()) return false;
  this->response_started = false;
  this->response_finished = false;
  this->HandleRequest();
  this->client_watch->on_disconnect = nullptr;
  std::string().swap(this->request.body());
  this->body_reservation.Release();
  return !this->broken && this->response_finished && this->KeepAlive();
}

auto HttpServer::Connection::AwaitRequest() -> bool {
  return this->buffer.size() != 0 || this->ReadFirstBytes();
}

auto HttpServer::Connection::ReadRequest() -> bool {
  const auto& limits = this->server.options.limits;
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  this->server.SetReading(this, true);
  const auto result = this->ReadMessage(parser);
  this->server.SetReading(this, false);
  if (!result.error) {
    this->request = parser.release();
    return this->CheckFraming();
  }
  if (result.error == asio::error::no_buffer_space) {
    this->RejectInput(http::status::service_unavailable, "no memory for it",
                      kNoMemoryRetryAfter);
    return false;
  }
  const bool is_cancelled = result.error == asio::error::operation_aborted;
  if (is_cancelled && this->server.rejecting_unread) {
    this->RejectInput(http::status::service_unavailable, "server stops");
  } else if (is_cancelled) {
    this->RejectInput(http::status::request_timeout, "request is late");
  } else if (IsParseError(result.error)) {
    this->RejectInput(StatusOf(result.error), result.error.message());
  }
  return false;
}

auto HttpServer::Connection::ReadMessage(
    http::request_parser<http::string_body>& parser) -> AwaitResult {
  const auto head = this->ReadHead(parser);
  if (head.error || parser.is_done()) return head;
  if (this->server.rejecting_unread) {
    return {asio::error::operation_aborted, 0};
  }
  if (!parser.chunked()) return this->ReadBody(parser);
  // The parser adds the fields of a trailer to those of the head.
  const HttpFields head_fields = parser.get();
  const auto result = this->ReadBody(parser);
  static_cast<HttpFields&>(parser.get()) = head_fields;
  return result;
}

auto HttpServer::Connection::ReadHead(
    http::request_parser<http::string_body>& parser) -> AwaitResult {
  this->stream.expires_never();
  std::optional<ReadTimeout> timeout;
  if (!this->HasCompleteHead()) {
    timeout.emplace(this->stream.socket(),
                    this->server.options.limits.header_timeout);
  }
  return Await([&](auto handler) {
    http::async_read_header(this->stream, this->buffer, parser, handler);
  });
}

auto HttpServer::Connection::ReadBody(
    http::request_parser<http::string_body>& parser) -> AwaitResult {
  const auto& options = this->server.options;
  // The framing of chunks does not count towards the parser's limit.
  const std::uint64_t max_trailer_bytes = options.limits.header_bytes;
  const auto read_until = std::chrono::steady_clock::now() + options.io_timeout;
  const ReadTimeout timeout(this->stream.socket(), options.io_timeout);
  AwaitResult result;
  std::uint64_t bytes = 0;
  while (!result.error && !parser.is_done()) {
    if (!this->ReserveBody(parser)) return {asio::error::no_buffer_space, 0};
    // Neither the timeout nor a rejection interrupts reads that don't wait.
    const bool is_late = std::chrono::steady_clock::now() >= read_until;
    if (is_late || this->server.rejecting_unread) {
      return {asio::error::operation_aborted, 0};
    }
    result = Await([&](auto handler) {
      http::async_read_some(this->stream, this->buffer, parser, handler);
    });
    bytes += result.bytes;
    const auto chunk_bytes = bytes - std::min(bytes, max_trailer_bytes);
    if (chunk_bytes / kMaxEncodedLength > options.limits.body_bytes) {
      result.error = http::error::body_limit;
    }
  }
  return result;
}

auto HttpServer::Connection::ReserveBody(
    const http::request_parser<http::string_body>& parser) -> bool {
  const auto received = parser.get().body().size();
  const auto length = parser.content_length();
  const auto bytes = length ? *length : kMaxGrowth * received;
  return bytes <= kSmallBodyBytes || this->body_reservation.GrowTo(bytes);
}

auto HttpServer::Connection::HasCompleteHead() const -> bool {
  const auto data = this->buffer.cdata();
  const std::string_view text(static_cast<const char*>(data.data()),
                              data.size());
  return text.find("\r\n\r\n") != std::string_view::npos;
}

auto HttpServer::Connection::ReadFirstBytes() -> bool {
  const bool has_bytes = HasUnreadBytes(this->stream.socket().native_handle());
  if (this->server.stopping && !has_bytes) return false;
  this->buffer.shrink_to_fit();
  this->stream.expires_never();
  auto result = this->AwaitFirstBytes();
  // The idle timeout or a stop may end the wait while the next request has
  // arrived already, for example because other handlers ran for long.
  const bool has_request =
      result.error == asio::error::operation_aborted &&
      HasUnreadBytes(this->stream.socket().native_handle());
  if (has_request) result = this->ReadSome();
  if (result.error) return false;
  this->buffer.commit(result.bytes);
  return true;
}

auto HttpServer::Connection::AwaitFirstBytes() -> AwaitResult {
  const auto idle_since = std::chrono::steady_clock::now();
  this->server.SetIdle(this, true);
  try {
    AwaitResult result;
    do {
      const ReadTimeout timeout(this->stream.socket(),
                                this->IdleTimeLeft(idle_since));
      result = this->ReadSome();
    } while (result.error == asio::error::operation_aborted &&
             !this->server.stopping &&
             this->IdleTimeLeft(idle_since) > std::chrono::milliseconds(0));
    this->server.SetIdle(this, false);
    return result;
  } catch (const LoopStopped&) {
    this->server.SetIdle(this, false);
    throw;
  }
}

auto HttpServer::Connection::IdleTimeLeft(
    std::chrono::steady_clock::time_point idle_since) const
    -> std::chrono::milliseconds {
  const auto idle_until = idle_since + this->server.options.limits.idle_timeout;
  return std::chrono::ceil<std::chrono::milliseconds>(
      idle_until - std::chrono::steady_clock::now());
}

auto HttpServer::Connection::ReadSome() -> AwaitResult {
  return Await([&](auto handler) {
    this->stream.async_read_some(this->buffer.prepare(kFirstReadBytes),
                                 handler);
  });
}

auto HttpServer::Connection::CheckFraming() -> bool {
  const bool has_body = !this->request.body().empty();
  if (this->request.method() == http::verb::trace && has_body) {
    this->RejectInput(http::status::bad_request, "TRACE with a body");
    return false;
  }
  const auto lengths = this->request.count(http::field::content_length);
  const auto codings = this->request.count(http::field::transfer_encoding);
  const bool is_chunked = boost::beast::iequals(
      this->request[http::field::transfer_encoding], "chunked");
  if (codings == 0 && lengths <= 1) return true;
  if (codings == 1 && is_chunked && lengths == 0) return true;
  this->RejectInput(http::status::bad_request,
                    "ambiguous length or unknown transfer coding");
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

auto HttpServer::Connection::RejectInput(http::status status,
                                         const std::string& reason,
                                         std::chrono::seconds retry_after)
    -> void {
  HttpResponse response{status, 11};
  if (retry_after > std::chrono::seconds(0)) {
    response.set(http::field::retry_after, std::to_string(retry_after.count()));
  }
  SetVerdict(response, Verdict::kNotRun);
  response.set(http::field::content_type, "text/plain");
  response.body() = "request rejected: " + reason + "\n";
  this->request = HttpRequest();
  this->request.keep_alive(false);
  try {
    this->Send(std::move(response));
  } catch (const RequestError&) {
    this->broken = true;
  }
  this->server.handler.OnBadInput(reason);
}

auto HttpServer::Connection::HandleRequest() -> void {
  const bool has_ended = TryStep("handler", [this] {
    try {
      this->server.handler.Handle(*this);
    } catch (const RequestError&) {
      this->broken = true;
    }
  });
  this->broken |= !has_ended;
}

auto HttpServer::Connection::Close() -> void {
  boost::system::error_code ignored;
  if (!this->broken) {
    this->stream.socket().shutdown(TcpSocket::shutdown_send, ignored);
  }
  this->stream.socket().close(ignored);
}

}  // namespace currantbeam
