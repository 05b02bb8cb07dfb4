#include "http/http_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <limits>
#include <utility>

#include "http/remaining_time.h"

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
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t kBodyBufferBytes = 16 * 1024;
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;
constexpr int kKeepAliveProbeSeconds = 1;
constexpr int kMaxLostProbes = 2;
constexpr int kMaxInterimResponses = 16;

/// Status codes, RFC 9110, section 15.
constexpr unsigned kMinInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;  ///< Was never asked for.
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kMaxStatus = 599;

auto IsInterim(unsigned status) -> bool {
  return status >= kMinInterimStatus && status < kMinFinalStatus &&
         status != kSwitchingProtocols;
}

/// @return whether bytes were received that are no response, other than the
///   beginning of one.
auto IsInvalid(const boost::system::error_code& error) -> bool {
  const auto invalid = http::make_error_code(http::error::bad_status);
  return error.category() == invalid.category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

auto ThreadNewestNumber() -> ConnectionNumber& {
  thread_local ConnectionNumber newest = 0;
  return newest;
}

}  // namespace

struct HttpConnection::ParserState {
  ParserState() : buffer(kMaxBufferedBytes) {}

  boost::beast::flat_buffer buffer;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::string chunk;
};

HttpConnection::HttpConnection(std::string address, std::uint16_t port)
    : address(std::move(address)),
      port(port),
      stream(FiberLoop::Current().Io()),
      parser_state(std::make_unique<ParserState>()) {}

HttpConnection::~HttpConnection() {
  if (this->IsExchangePending()) return;
  boost::system::error_code ignored;
  this->stream.socket().set_option(asio::socket_base::linger(false, 0),
                                   ignored);
}

auto HttpConnection::Connect(std::chrono::milliseconds timeout) -> void {
  boost::system::error_code address_error;
  const tcp::endpoint endpoint(
      asio::ip::make_address(this->address, address_error), this->port);
  if (address_error) {
    throw RequestError(Verdict::kNotRun, "no IP address: " + this->address);
  }
  this->connected = true;
  this->StartTimeout(timeout, Verdict::kNotRun);
  const auto result = Await(
      [&](auto handler) { this->stream.async_connect(endpoint, handler); });
  if (result.error) {
    this->connected = false;
    throw RequestError(Verdict::kNotRun, "cannot connect to " + this->address +
                                             ":" + std::to_string(this->port) +
                                             ": " + result.error.message());
  }
  boost::system::error_code ignored;
  this->stream.socket().set_option(tcp::no_delay(true), ignored);
  // A connection that is closed during an exchange is reset, because the system
  // would otherwise deliver the request later, once a network partition ends.
  this->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  this->number = ++ThreadNewestNumber();
}

auto HttpConnection::NewestNumber() -> ConnectionNumber {
  return ThreadNewestNumber();
}

auto HttpConnection::Exchange(const HttpRequest& request,
                              std::chrono::milliseconds timeout)
    -> const http::response_header<>& {
  const RemainingTime remaining(timeout);
  this->Send(request, timeout);
  return this->ReadHead(request.method() == http::verb::head, remaining());
}

auto HttpConnection::StartTimeout(std::chrono::milliseconds timeout,
                                  Verdict verdict) -> void {
  if (!this->connected) throw RequestError(verdict, "cancelled");
  // The stream's own timer has no effect on an operation that completes at
  // once.
  if (timeout <= std::chrono::milliseconds(0)) {
    this->connected = false;
    throw RequestError(verdict, "timed out");
  }
  this->stream.expires_after(timeout);
}

auto HttpConnection::Send(const HttpRequest& request,
                          std::chrono::milliseconds timeout) -> void {
  this->SendMessage(request, timeout);
}

auto HttpConnection::SendView(const HttpRequestView& request,
                              std::chrono::milliseconds timeout) -> void {
  this->SendMessage(request, timeout);
}

template <typename Request>
auto HttpConnection::SendMessage(const Request& request,
                                 std::chrono::milliseconds timeout) -> void {
  this->StartTimeout(timeout, Verdict::kNotRun);
  this->has_sent_request = true;
  this->body_bytes_left = kMaxRelayedBodyBytes;
  this->parser_state->parser.reset();
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
  const RemainingTime time_left(timeout);
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    this->ReadNextHead(is_head_request, time_left());
    this->CheckHead();
    if (!IsInterim(this->Head().result_int())) return this->Head();
  }
  this->connected = false;
  throw InvalidResponse("too many interim responses");
}

auto HttpConnection::CheckHead() -> void {
  const auto status = this->Head().result_int();
  const bool is_known =
      IsInterim(status) || (status >= kMinFinalStatus && status <= kMaxStatus);
  // In a 304, it may be the length of a body that isn't sent.
  const bool has_wrong_body =
      status != kNotModified && this->AnnouncesBodyWithoutOne();
  if (is_known && !has_wrong_body) return;
  this->connected = false;
  throw InvalidResponse((is_known ? "a body with status " : "status ") +
                        std::to_string(status));
}

auto HttpConnection::AnnouncesBodyWithoutOne() const -> bool {
  const auto& head = this->Head();
  const auto status = head.result_int();
  const bool has_no_body =
      IsInterim(status) || status == kNoContent || status == kNotModified;
  if (!has_no_body) return false;
  const auto length = head.find(http::field::content_length);
  const bool has_length = length != head.end() && length->value() != "0";
  return has_length || head.count(http::field::transfer_encoding) != 0;
}

auto HttpConnection::ReadNextHead(bool is_head_request,
                                  std::chrono::milliseconds timeout) -> void {
  auto& parser = this->parser_state->parser.emplace();
  this->body_bytes_received = 0;
  // LimitBody() limits the body; the parser would not count its framing.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  if (is_head_request) parser.skip(true);
  this->StartTimeout(timeout, Verdict::kMayHaveRun);
  const auto read = Await([&](auto handler) {
    http::async_read_header(this->stream, this->parser_state->buffer, parser,
                            handler);
  });
  if (!read.error) return;
  this->connected = false;
  if (IsInvalid(read.error)) throw InvalidResponse(read.error.message());
  throw RequestError(Verdict::kMayHaveRun,
                     "no answer: " + read.error.message());
}

auto HttpConnection::EnableTcpKeepAlive() -> void {
  auto& socket = this->stream.socket();
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(KeepIdle(kKeepAliveProbeSeconds), ignored);
  socket.set_option(KeepInterval(kKeepAliveProbeSeconds), ignored);
  socket.set_option(KeepCount(kMaxLostProbes), ignored);
}

auto HttpConnection::SetAcknowledgementTimeout(
    std::chrono::milliseconds timeout) -> void {
  boost::system::error_code ignored;
  this->stream.socket().set_option(
      UserTimeout(static_cast<int>(timeout.count())), ignored);
  this->has_acknowledgement_timeout = true;
}

auto HttpConnection::ClearAcknowledgementTimeout() -> void {
  if (!this->has_acknowledgement_timeout) return;
  boost::system::error_code ignored;
  this->stream.socket().set_option(UserTimeout(0), ignored);
  this->has_acknowledgement_timeout = false;
}

auto HttpConnection::IdleTimeout() const -> std::chrono::milliseconds {
  const auto field = this->Field("Keep-Alive");
  const auto at = field.find("timeout=");
  if (at == std::string_view::npos) return kDefaultIdleTimeout;
  const std::string digits(field.substr(at + std::string("timeout=").size()));
  return std::chrono::seconds(std::strtol(digits.c_str(), nullptr, 10));
}

auto HttpConnection::Head() const -> const http::response_header<>& {
  return this->parser_state->parser->get().base();
}

auto HttpConnection::BodyLength() const -> std::optional<std::uint64_t> {
  const auto& parser = *this->parser_state->parser;
  if (parser.is_done()) return 0;
  const auto length = parser.content_length();
  if (!length) return std::nullopt;
  return *length;
}

auto HttpConnection::ReadBody(std::chrono::milliseconds timeout)
    -> std::string_view {
  auto& parser = *this->parser_state->parser;
  auto& chunk = this->parser_state->chunk;
  if (chunk.size() < kBodyBufferBytes) chunk.resize(kBodyBufferBytes);
  this->CheckBodyLimit(0);
  const RemainingTime remaining(timeout);
  while (!parser.is_done()) {
    auto& body = parser.get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    this->StartTimeout(remaining(), Verdict::kMayHaveRun);
    const auto result = Await([&](auto handler) {
      http::async_read_some(this->stream, this->parser_state->buffer, parser,
                            handler);
    });
    this->CheckBodyLimit(result.bytes);
    const bool buffer_full = result.error == http::error::need_buffer;
    if (result.error && !buffer_full) {
      this->connected = false;
      throw RequestError(Verdict::kMayHaveRun,
                         "answer cut short after " +
                             std::to_string(this->body_bytes_received) +
                             " bytes: " + result.error.message());
    }
    const auto length = chunk.size() - body.size;
    this->body_bytes_received += length;
    if (length != 0) return {chunk.data(), length};
  }
  return {};
}

auto HttpConnection::CheckBodyLimit(std::size_t received) -> void {
  const auto announced =
      this->parser_state->parser->content_length_remaining().value_or(0);
  if (received <= this->body_bytes_left &&
      announced <= this->body_bytes_left - received) {
    this->body_bytes_left -= received;
    return;
  }
  this->connected = false;
  throw ResponseTooLarge();
}

auto HttpConnection::Field(const std::string& name) const -> std::string_view {
  std::string_view value;
  const auto range = this->parser_state->parser->get().base().equal_range(name);
  for (auto it = range.first; it != range.second; ++it) {
    value = {it->value().data(), it->value().size()};
  }
  return value;
}

auto HttpConnection::IsExchangePending() const -> bool {
  const auto& parser = this->parser_state->parser;
  return this->has_sent_request && !(parser.has_value() && parser->is_done());
}

auto HttpConnection::IsReusable() const -> bool {
  if (!this->connected || !this->parser_state->parser.has_value()) return false;
  const auto& parser = *this->parser_state->parser;
  return parser.is_done() && parser.get().keep_alive() &&
         !this->AnnouncesBodyWithoutOne();
}

auto HttpConnection::MayRespondAgain() const -> bool {
  return this->parser_state->parser->keep_alive();
}

auto HttpConnection::IsStale() const -> bool {
  char byte = 0;
  const auto fd = const_cast<TcpStream&>(this->stream).socket().native_handle();
  const auto bytes = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return bytes >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ||
         this->parser_state->buffer.size() != 0;
}

auto HttpConnection::Cancel() -> void {
  this->connected = false;
  this->stream.cancel();
}

}  // namespace currantbeam
