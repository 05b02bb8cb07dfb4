#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"
#include "http/answer_source.h"
#include "http/http_types.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// The client's end of one connection. A request is sent once; its answer is
/// read as a head and a body that comes in parts.
class HttpConnection : public AnswerSource {
 public:
  HttpConnection(std::string address, std::uint16_t port);
  ~HttpConnection() override;

  /// @throws RequestError with kNotRun if there is no connection.
  auto Connect(std::chrono::milliseconds timeout) -> void;
  /// Sends the request and reads the answer's head.
  /// @throws RequestError with kMayHaveRun once a byte may have left.
  auto Exchange(const HttpRequest& request, std::chrono::milliseconds timeout)
      -> const http::response_header<>&;
  /// Sends the request without waiting for its answer.
  /// @throws RequestError with kMayHaveRun once a byte may have left.
  auto Send(const HttpRequest& request, std::chrono::milliseconds timeout)
      -> void;
  /// Reads the head of the next answer on the connection.
  /// @throws RequestError with kMayHaveRun if none comes.
  auto ReadHead(bool is_head_request, std::chrono::milliseconds timeout)
      -> const http::response_header<>&;
  /// Has the system probe the peer while the connection is silent, so that
  /// one that went dead without a word is noticed.
  auto EnableProbes() -> void;
  [[nodiscard]] auto Head() const -> const http::response_header<>& override;
  [[nodiscard]] auto BodyLength() const
      -> std::optional<std::uint64_t> override;
  auto ReadBody(std::chrono::milliseconds timeout) -> std::string_view override;
  /// @return a header or trailer of the answer; empty if it has none.
  [[nodiscard]] auto Field(const std::string& name) const -> std::string_view;
  /// @return true if another request may be sent after this one.
  [[nodiscard]] auto IsReusable() const -> bool;
  /// @return true if the peer closed the connection, or sent what it was not
  /// asked for, while the connection was idle.
  [[nodiscard]] auto IsStale() const -> bool;
  /// @return how long the peer keeps the connection open while it is idle.
  [[nodiscard]] auto IdleLimit() const -> std::chrono::milliseconds;
  /// Breaks off from another fiber of the same loop.
  auto Cancel() -> void;

 private:
  struct Parsing;

  std::string address;
  std::uint16_t port;
  TcpStream stream;
  std::unique_ptr<Parsing> parsing;
  bool connected = false;
};

/// Idle connections of one loop, by endpoint. Not for use across threads.
class ConnectionPool {
 public:
  /// @return the calling thread's pool.
  static auto Current() -> ConnectionPool&;

  /// @return a connected connection, kept from before or new.
  /// @throws RequestError with kNotRun if there is none to be had.
  /// @param probe  whether the peer of a new connection is probed while it is
  ///   silent.
  auto Take(const std::string& address, std::uint16_t port,
            std::chrono::milliseconds timeout, bool probe = false)
      -> std::unique_ptr<HttpConnection>;
  /// Keeps the connection for later if it can be used again.
  auto Give(const std::string& address, std::uint16_t port,
            std::unique_ptr<HttpConnection> connection) -> void;

 private:
  struct Kept {
    std::unique_ptr<HttpConnection> connection;
    std::chrono::steady_clock::time_point until;
  };
  using Key = std::pair<std::string, std::uint16_t>;
  std::map<Key, std::deque<Kept>> idle;
  bool is_cleared_at_end = false;
};

/// Sends a request and reads the whole answer, over the calling loop's pool.
/// New connections are probed while they are silent.
/// @param timeout  for the whole call.
/// @throws RequestError with the verdict of the failure.
auto Fetch(const std::string& address, std::uint16_t port, HttpRequest request,
           std::chrono::milliseconds timeout) -> HttpResponse;

}  // namespace currantbeam
