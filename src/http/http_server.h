#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http/byte_budget.h"
#include "http/http_exchange.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Accepts HTTP connections on one address and serves each on its own fiber.
/// Must exist until its loops have stopped; it and they may then be destroyed
/// in any order.
class HttpServer {
 public:
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    HttpLimits limits;
    /// For reading the body of a request, and for each write of a response.
    std::chrono::milliseconds io_timeout{30000};
    std::size_t max_connections = 20000;
    /// For the bodies of all requests that are received or handled. A request
    /// whose body would exceed it is rejected with 503, but not one of at most
    /// kSmallBodyBytes, nor the only one.
    std::uint64_t max_buffered_bytes = 128 * 1024 * 1024;
  };

  static constexpr std::uint64_t kSmallBodyBytes = 64 * 1024;

  HttpServer(Options options, HttpHandler& handler);

  /// Starts listening on the loop. May be called for several loops; the kernel
  /// then distributes the connections among them.
  /// @throws Error if the address cannot be bound.
  auto Listen(FiberLoop& loop) -> void;
  /// Replaces the limits, from the next request of each connection on. A longer
  /// idle timeout also applies to connections that are idle. Call on the
  /// listening loop; only for servers that listen on a single loop.
  auto SetLimits(const HttpLimits& limits) -> void;
  /// From now on, each response closes its connection (Connection: close).
  auto CloseAfterResponses() -> void { this->close_after_response = true; }
  /// Stops accepting connections; existing ones close after the request that is
  /// in flight.
  auto StopAccepting() -> void;
  /// Closes the connections that have no request in flight. Call on the
  /// listening loop; only for servers that listen on a single loop.
  auto CloseIdleConnections() -> void;
  /// Responds with 503 to the requests that have not been received whole, from
  /// now on without waiting for the rest. Takes effect on each listening loop
  /// when that has run its pending handlers. May be called from any thread.
  auto RejectUnreadRequests() -> void;
  /// Waits until no request is in flight.
  /// @return the number of requests still in flight after the timeout.
  auto Drain(std::chrono::milliseconds timeout) -> std::size_t;
  /// @return the number of requests in flight.
  [[nodiscard]] auto InFlight() const -> std::size_t { return this->in_flight; }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  class Connection;
  /// A loop that the server listens on. The loop's accepting fiber owns the
  /// acceptor, so the port is closed when the loop stops.
  struct Listener {
    std::weak_ptr<boost::asio::io_context> io;
    std::weak_ptr<Acceptor> acceptor;
  };

  auto AcceptLoop(const std::shared_ptr<Acceptor>& acceptor) -> void;
  auto Serve(TcpSocket socket) -> void;
  auto SetIdle(Connection* connection, bool is_idle) -> void;
  auto SetReading(Connection* connection, bool is_reading) -> void;
  /// Cancels the reads of incomplete requests on the calling loop.
  auto CancelReads() -> void;
  /// Runs the function on each of the server's loops that still exists.
  auto PostToLoops(const std::function<void(const Listener&)>& function)
      -> void;

  Options options;
  HttpHandler& handler;
  ByteBudget body_budget;
  std::atomic<bool> stopping{false};
  std::atomic<bool> close_after_response{false};
  std::atomic<bool> rejecting_unread{false};
  std::atomic<std::size_t> in_flight{0};
  std::atomic<std::size_t> connections{0};
  /// Guards the members below. No other lock is acquired while it is held.
  std::mutex mutex;
  std::set<Connection*> idle_connections;
  /// Connections that are receiving a request, by the loop that serves them.
  std::map<FiberLoop*, std::set<Connection*>> reading_connections;
  std::vector<Listener> listeners;
};

}  // namespace currantbeam
