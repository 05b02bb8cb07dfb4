#include "http/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <limits>
#include <utility>

namespace currantbeam {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

using KeepIdle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr std::size_t kBodyPart = 16 * 1024;
constexpr std::size_t kMaxBuffered = 128 * 1024;
constexpr std::size_t kMaxIdle = 256;
/// Where the peer does not say how long it keeps a connection.
constexpr auto kDefaultIdleLimit = std::chrono::seconds(5);
/// Part of the peer's limit that is used, as requests need time to arrive.
constexpr double kIdleLimitUsed = 0.8;
/// A peer that is cut off answers no attempt to connect, so that a longer one
/// would go on after the cut has healed.
constexpr auto kFetchConnectTimeout = std::chrono::milliseconds(500);
constexpr int kProbeSeconds = 1;
constexpr int kProbesLost = 2;

}  // namespace

struct HttpConnection::Parsing {
  Parsing() : buffer(kMaxBuffered) {}

  boost::beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::string part;
};

HttpConnection::HttpConnection(std::string address, std::uint16_t port)
    : address(std::move(address)),
      port(port),
      stream(FiberLoop::Current().Io()),
      parsing(std::make_unique<Parsing>()) {}

HttpConnection::~HttpConnection() = default;

auto HttpConnection::Connect(std::chrono::milliseconds timeout) -> void {
  const tcp::endpoint endpoint(asio::ip::make_address(this->address),
                               this->port);
  this->stream.expires_after(timeout);
  const auto result = Await(
      [&](auto handler) { this->stream.async_connect(endpoint, handler); });
  if (result.error) {
    throw RequestError(Verdict::kNotRun, "cannot connect to " + this->address +
                                             ":" + std::to_string(this->port) +
                                             ": " + result.error.message());
  }
  boost::system::error_code ignored;
  this->stream.socket().set_option(tcp::no_delay(true), ignored);
  this->connected = true;
}

auto HttpConnection::Exchange(const HttpRequest& request,
                              std::chrono::milliseconds timeout)
    -> const http::response_header<>& {
  this->Send(request, timeout);
  return this->ReadHead(request.method() == http::verb::head, timeout);
}

auto HttpConnection::Send(const HttpRequest& request,
                          std::chrono::milliseconds timeout) -> void {
  this->stream.expires_after(timeout);
  const auto written = Await(
      [&](auto handler) { http::async_write(this->stream, request, handler); });
  if (!written.error) return;
  this->connected = false;
  throw RequestError(Verdict::kMayHaveRun,
                     "sending failed: " + written.error.message());
}

auto HttpConnection::ReadHead(bool is_head_request,
                              std::chrono::milliseconds timeout)
    -> const http::response_header<>& {
  auto& parser = this->parsing->parser.emplace();
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (is_head_request) parser.skip(true);
  this->stream.expires_after(timeout);
  const auto read = Await([&](auto handler) {
    http::async_read_header(this->stream, this->parsing->buffer, parser,
                            handler);
  });
  if (read.error) {
    this->connected = false;
    throw RequestError(Verdict::kMayHaveRun,
                       "no answer: " + read.error.message());
  }
  return parser.get().base();
}

auto HttpConnection::EnableProbes() -> void {
  auto& socket = this->stream.socket();
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepIdle(kProbeSeconds), ignored);
  socket.set_option(KeepInterval(kProbeSeconds), ignored);
  socket.set_option(KeepCount(kProbesLost), ignored);
}

auto HttpConnection::IdleLimit() const -> std::chrono::milliseconds {
  const auto field = this->Field("Keep-Alive");
  const auto at = field.find("timeout=");
  if (at == std::string_view::npos) return kDefaultIdleLimit;
  const std::string digits(field.substr(at + std::string("timeout=").size()));
  return std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
}

auto HttpConnection::Head() const -> const http::response_header<>& {
  return this->parsing->parser->get().base();
}

auto HttpConnection::BodyLength() const -> std::optional<std::uint64_t> {
  const auto& parser = *this->parsing->parser;
  if (parser.is_done()) return 0;
  const auto length = parser.content_length();
  if (!length) return std::nullopt;
  return *length;
}

auto HttpConnection::ReadBody(std::chrono::milliseconds timeout)
    -> std::string_view {
  auto& parser = *this->parsing->parser;
  auto& part = this->parsing->part;
  if (part.size() < kBodyPart) part.resize(kBodyPart);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = part.data();
    body.size = part.size();
    this->stream.expires_after(timeout);
    const auto result = Await([&](auto handler) {
      http::async_read_some(this->stream, this->parsing->buffer, parser,
                            handler);
    });
    const bool is_full = result.error == http::error::need_buffer;
    if (result.error && !is_full) {
      this->connected = false;
      throw RequestError(Verdict::kMayHaveRun,
                         "answer cut short: " + result.error.message());
    }
    const auto length = part.size() - body.size;
    if (length != 0) return {part.data(), length};
  }
  return {};
}

auto HttpConnection::Field(const std::string& name) const -> std::string_view {
  std::string_view value;
  const auto range = this->parsing->parser->get().base().equal_range(name);
  for (auto it = range.first; it != range.second; ++it) {
    value = {it->value().data(), it->value().size()};
  }
  return value;
}

auto HttpConnection::IsReusable() const -> bool {
  if (!this->connected || !this->parsing->parser.has_value()) return false;
  const auto& parser = *this->parsing->parser;
  return parser.is_done() && parser.get().keep_alive();
}

auto HttpConnection::IsStale() const -> bool {
  char byte = 0;
  const auto fd = const_cast<TcpStream&>(this->stream).socket().native_handle();
  const auto received = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ||
         this->parsing->buffer.size() != 0;
}

auto HttpConnection::Cancel() -> void { this->stream.cancel(); }

auto ConnectionPool::Current() -> ConnectionPool& {
  thread_local ConnectionPool pool;
  return pool;
}

auto ConnectionPool::Take(const std::string& address, std::uint16_t port,
                          std::chrono::milliseconds timeout, bool probe)
    -> std::unique_ptr<HttpConnection> {
  auto& kept = this->idle[{address, port}];
  while (!kept.empty()) {
    auto last = std::move(kept.back());
    kept.pop_back();
    const bool is_in_time = std::chrono::steady_clock::now() < last.until;
    if (is_in_time && !last.connection->IsStale()) {
      return std::move(last.connection);
    }
  }
  auto connection = std::make_unique<HttpConnection>(address, port);
  connection->Connect(timeout);
  if (probe) connection->EnableProbes();
  return connection;
}

auto ConnectionPool::Give(const std::string& address, std::uint16_t port,
                          std::unique_ptr<HttpConnection> connection) -> void {
  if (!connection->IsReusable()) return;
  if (!this->is_cleared_at_end) {
    // Connections must not outlive the loop that they wait on.
    FiberLoop::Current().AtEnd([this] {
      this->idle.clear();
      this->is_cleared_at_end = false;
    });
    this->is_cleared_at_end = true;
  }
  auto& kept = this->idle[{address, port}];
  if (kept.size() >= kMaxIdle) return;
  const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
      connection->IdleLimit() * kIdleLimitUsed);
  kept.push_back(
      {std::move(connection), std::chrono::steady_clock::now() + limit});
}

auto Fetch(const std::string& address, std::uint16_t port, HttpRequest request,
           std::chrono::milliseconds timeout) -> HttpResponse {
  const auto until = std::chrono::steady_clock::now() + timeout;
  const auto left = [until] {
    const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    return std::max(rest, std::chrono::milliseconds(1));
  };
  auto& pool = ConnectionPool::Current();
  request.version(11);
  request.set(http::field::host, address + ":" + std::to_string(port));
  request.prepare_payload();
  auto connection =
      pool.Take(address, port, std::min(timeout, kFetchConnectTimeout), true);
  HttpResponse response;
  response.base() = connection->Exchange(request, left());
  while (true) {
    const auto part = connection->ReadBody(left());
    if (part.empty()) break;
    response.body().append(part);
  }
  pool.Give(address, port, std::move(connection));
  return response;
}

}  // namespace currantbeam
