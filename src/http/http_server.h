#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http/http_exchange.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Accepts HTTP connections on one address and serves each on a fiber.
class HttpServer {
 public:
  struct Options {
    std::string address;
    std::uint16_t port = 0;
    HttpLimits limits;
    /// How long a client may take to send or take up one part.
    std::chrono::milliseconds io_timeout{30000};
    std::size_t max_connections = 20000;
  };

  HttpServer(Options options, HttpHandler& handler);

  /// Starts listening on the loop; may be called for several loops, between
  /// which the kernel spreads connections.
  /// @throws Error if the address cannot be bound.
  auto Listen(FiberLoop& loop) -> void;
  /// Takes effect with the next request of each connection. Call on the loop
  /// that listens; only for servers that listen on one.
  auto SetLimits(const HttpLimits& limits) -> void;
  /// Asks clients to close: from here on, each answer ends its connection.
  auto CloseAfterAnswers() -> void { this->closing = true; }
  /// Stops accepting; connections close after the request in hand.
  auto StopAccepting() -> void;
  /// Closes the connections that wait for a request. Call on the loop that
  /// listens; only for servers that listen on one.
  auto CloseIdle() -> void;
  /// Waits until no request is in hand.
  /// @return the number still in hand at the deadline.
  auto Drain(std::chrono::milliseconds deadline) -> std::size_t;
  [[nodiscard]] auto InHand() const -> std::size_t { return this->in_hand; }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  class Connection;

  auto AcceptLoop(const std::shared_ptr<Acceptor>& acceptor) -> void;
  auto Serve(TcpSocket socket) -> void;
  auto SetIdle(Connection* connection, bool is_idle) -> void;

  Options options;
  HttpHandler& handler;
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> in_hand{0};
  std::atomic<std::size_t> connections{0};
  std::mutex mutex;            ///< Guards what follows; taken last.
  std::set<Connection*> idle;  ///< Connections that wait for a request.
  std::vector<std::pair<FiberLoop*, std::shared_ptr<Acceptor>>> acceptors;
};

}  // namespace currantbeam
