#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"
#include "http/response_reader.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// A response has more bytes than its reader accepts.
class ResponseTooLarge : public RequestError {
 public:
  ResponseTooLarge()
      : RequestError(Verdict::kMayHaveRun, "the response is too large") {}
};

/// The peer sent bytes that are no response in HTTP/1.1, so that its connection
/// can't be used any more.
class InvalidResponse : public RequestError {
 public:
  explicit InvalidResponse(const std::string& what)
      : RequestError(Verdict::kMayHaveRun, "invalid response: " + what) {}
};

/// The client side of one HTTP/1.1 connection, used from one fiber at a time.
/// It sends each request once, without retries, and reads the response as a
/// head followed by chunks of the body. If it is closed before the response has
/// been read, it is reset, so that the request isn't delivered any more.
class HttpConnection : public ResponseReader {
 public:
  HttpConnection(std::string address, std::uint16_t port);
  ~HttpConnection() override;

  // Each of the following operations fails at once if its timeout is not
  // positive, also if it would not have to wait. A series of them ends at a
  // deadline if each gets the time that is left as its timeout.

  /// @throws RequestError with kNotRun if the connection cannot be established
  /// within the timeout.
  auto Connect(std::chrono::milliseconds timeout) -> void;
  /// Sends the request and reads the head of the response.
  /// @param timeout  for both.
  /// @throws RequestError with kMayHaveRun if either fails, as part of the
  /// request may have reached the peer.
  auto Exchange(const HttpRequest& request, std::chrono::milliseconds timeout)
      -> const http::response_header<>&;
  /// Sends the request without waiting for the response.
  /// @throws RequestError with kMayHaveRun if the write fails, as part of the
  /// request may have reached the peer; with kNotRun if no time is left.
  auto Send(const HttpRequest& request, std::chrono::milliseconds timeout)
      -> void;
  auto SendView(const HttpRequestView& request,
                std::chrono::milliseconds timeout) -> void;
  /// Reads the head of the next final response on the connection. Interim
  /// responses, which may come before it, are skipped.
  /// @param is_head_request  true if the request's method was HEAD, so that the
  ///   response has no body whatever its Content-Length is.
  /// @throws RequestError with kMayHaveRun if no head arrives within the
  /// timeout; InvalidResponse if the peer sends anything else, such as a status
  /// that is not one of RFC 9110, section 15.
  auto ReadHead(bool is_head_request, std::chrono::milliseconds timeout)
      -> const http::response_header<>&;
  /// Enables TCP keepalive, so that a peer that disappeared without closing the
  /// connection is detected while the connection is idle.
  auto EnableTcpKeepAlive() -> void;
  /// Makes the system reset the connection once sent bytes were not
  /// acknowledged for this long, even while the process is suspended. Holds
  /// until the connection is returned to a pool.
  auto SetAcknowledgementTimeout(std::chrono::milliseconds timeout) -> void;
  /// Ends the effect of SetAcknowledgementTimeout().
  auto ClearAcknowledgementTimeout() -> void;
  /// @return the connection's number; 0 before it is established.
  [[nodiscard]] auto Number() const -> ConnectionNumber { return this->number; }
  /// @return the number of the thread's newest connection.
  static auto NewestNumber() -> ConnectionNumber;
  [[nodiscard]] auto Head() const -> const http::response_header<>& override;
  [[nodiscard]] auto BodyLength() const
      -> std::optional<std::uint64_t> override;
  auto ReadBody(std::chrono::milliseconds timeout) -> std::string_view override;
  /// Limits what ReadBody() reads from now until the next request is sent,
  /// whose responses have the limit kMaxRelayedBodyBytes.
  /// @param bytes  of all responses together, with the framing of their bodies.
  ///   ReadBody() throws ResponseTooLarge instead of reading more.
  auto LimitBody(std::uint64_t bytes) -> void { this->body_bytes_left = bytes; }
  /// @return the last value of this header or trailer field of the response;
  /// empty if the field is absent.
  [[nodiscard]] auto Field(const std::string& name) const -> std::string_view;
  /// @return true if the response has been read completely and both sides keep
  /// the connection open for another request.
  [[nodiscard]] auto IsReusable() const -> bool;
  /// @return true if another response may follow the one whose head was read
  /// last, on the same connection.
  [[nodiscard]] auto MayRespondAgain() const -> bool;
  /// @return true if the peer closed the connection or sent unsolicited bytes
  /// while the connection was idle.
  [[nodiscard]] auto IsStale() const -> bool;
  /// @return how long the peer keeps an idle connection open, from the
  /// Keep-Alive field of the last response; 5 s if the field is absent.
  [[nodiscard]] auto IdleTimeout() const -> std::chrono::milliseconds;
  [[nodiscard]] auto Address() const -> const std::string& {
    return this->address;
  }
  [[nodiscard]] auto Port() const -> std::uint16_t { return this->port; }
  /// Cancels the pending operation and all later ones, which then fail with
  /// RequestError. May be called by another fiber of the same loop.
  auto Cancel() -> void;

  /// Used if the peer's response has no Keep-Alive timeout.
  static constexpr auto kDefaultIdleTimeout = std::chrono::seconds(5);
  /// The limit on a response that is passed on as it arrives.
  static constexpr std::uint64_t kMaxRelayedBodyBytes = 1024 * 1024 * 1024;

 private:
  struct ParserState;

  template <typename Request>
  auto SendMessage(const Request& request, std::chrono::milliseconds timeout)
      -> void;
  auto ReadNextHead(bool is_head_request, std::chrono::milliseconds timeout)
      -> void;
  /// @throws InvalidResponse if the status is unknown, or the response has no
  ///   body because of it and still announces one.
  auto CheckHead() -> void;
  /// @return whether the response has no body because of its status, but fields
  ///   that announce one.
  [[nodiscard]] auto AnnouncesBodyWithoutOne() const -> bool;
  /// Starts the timeout of the next operation.
  /// @throws RequestError with the verdict if no time is left or the connection
  ///   was cancelled.
  auto StartTimeout(std::chrono::milliseconds timeout, Verdict verdict) -> void;
  /// Counts received bytes of a body, and those that its head announces.
  /// @throws ResponseTooLarge beyond the limit.
  auto CheckBodyLimit(std::size_t received) -> void;

  /// @return true if a request was sent and its response not read completely.
  [[nodiscard]] auto IsExchangePending() const -> bool;

  std::string address;
  std::uint16_t port;
  TcpStream stream;
  std::unique_ptr<ParserState> parser_state;
  bool connected = false;
  bool has_sent_request = false;
  bool has_acknowledgement_timeout = false;
  std::uint64_t body_bytes_left = kMaxRelayedBodyBytes;
  std::uint64_t body_bytes_received = 0;  ///< Of the current response.
  ConnectionNumber number = 0;
};

}  // namespace currantbeam
