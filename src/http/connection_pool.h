#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "http/http_connection.h"

namespace currantbeam {

/// The idle connections of one FiberLoop, by endpoint. Each thread has a pool
/// of its own that all requests share; others may be constructed. A pool is not
/// thread-safe.
class ConnectionPool {
 public:
  /// @return the calling thread's pool.
  static auto Current() -> ConnectionPool&;

  /// @param timeout  for connecting, if a new connection is needed.
  /// @param tcp_keep_alive  whether to enable TCP keepalive on a new
  /// connection.
  /// @return an idle connection of the pool or a new one, connected.
  /// @throws RequestError with kNotRun if a new connection cannot be
  /// established.
  auto Acquire(const std::string& address, std::uint16_t port,
               std::chrono::milliseconds timeout, bool tcp_keep_alive = false)
      -> std::unique_ptr<HttpConnection>;
  /// @return the pool's connection that was idle for the longest time, among
  ///   those with at most this number; null if there is none.
  auto AcquireIdle(const std::string& address, std::uint16_t port,
                   ConnectionNumber max_number)
      -> std::unique_ptr<HttpConnection>;
  /// Adds a new idle connection to the pool.
  /// @throws RequestError with kNotRun if it cannot be established.
  auto OpenIdle(const std::string& address, std::uint16_t port,
                std::chrono::milliseconds timeout) -> void;
  /// @return how many idle connections to the endpoint the pool has.
  [[nodiscard]] auto IdleCount(const std::string& address,
                               std::uint16_t port) const -> std::size_t;
  /// @return how many idle connections the pool has, to all endpoints.
  [[nodiscard]] auto IdleCount() const -> std::size_t;
  /// Returns the connection to the pool if it is reusable, else closes it.
  auto Release(const std::string& address, std::uint16_t port,
               std::unique_ptr<HttpConnection> connection) -> void;

  /// Closes the idle connections that can't be used again. The pool does this
  /// periodically, as those to an endpoint that isn't called any more would
  /// otherwise stay open.
  auto Prune() -> void;

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    std::chrono::steady_clock::time_point expires_at;
  };
  using Endpoint = std::pair<std::string, std::uint16_t>;

  /// Registers the clean-up of the idle connections at the end of their loop.
  auto RegisterCleanup() -> void;
  /// Calls Prune() every kPruneInterval, until the loop stops.
  auto RunPruning() -> void;
  static auto CanBeUsed(const IdleConnection& idle,
                        std::chrono::steady_clock::time_point now) -> bool;

  std::map<Endpoint, std::deque<IdleConnection>> idle_connections;
  bool is_cleanup_registered = false;
};

}  // namespace currantbeam
