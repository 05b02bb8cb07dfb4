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
/// thread-safe. It and its loop may be destroyed in any order.
class ConnectionPool {
 public:
  ConnectionPool() : idle(std::make_shared<IdleConnections>()) {}
  ~ConnectionPool() { this->idle->by_endpoint.clear(); }
  ConnectionPool(const ConnectionPool&) = delete;
  auto operator=(const ConnectionPool&) -> ConnectionPool& = delete;

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
  auto Prune() -> void { Prune(*this->idle); }

 private:
  struct IdleConnection {
    std::unique_ptr<HttpConnection> connection;
    std::chrono::steady_clock::time_point expires_at;
  };
  using Endpoint = std::pair<std::string, std::uint16_t>;
  /// Shared with the loop, which destroys the connections when it stops.
  struct IdleConnections {
    std::map<Endpoint, std::deque<IdleConnection>> by_endpoint;
    bool is_cleanup_registered = false;
  };

  /// Registers the clean-up of the idle connections at the end of their loop.
  auto RegisterCleanup() -> void;
  static auto Prune(IdleConnections& idle) -> void;
  /// Prunes every kPruneInterval, until the pool is destroyed or the loop
  /// stops.
  static auto RunPruning(const std::weak_ptr<IdleConnections>& pruned) -> void;
  static auto CanBeUsed(const IdleConnection& idle,
                        std::chrono::steady_clock::time_point now) -> bool;

  std::shared_ptr<IdleConnections> idle;
};

}  // namespace currantbeam
