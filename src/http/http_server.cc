#include "http/http_server.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "http/server_connection.h"

namespace currantbeam {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto kDrainPollInterval = std::chrono::milliseconds(5);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

HttpServer::HttpServer(Options options, HttpHandler& handler)
    : options(std::move(options)),
      handler(handler),
      body_budget(this->options.max_buffered_bytes) {}

auto HttpServer::Listen(FiberLoop& loop) -> void {
  const auto endpoint_text =
      this->options.address + ":" + std::to_string(this->options.port);
  try {
    auto acceptor = std::make_shared<Acceptor>(loop.Io());
    const tcp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                 this->options.port);
    acceptor->open(endpoint.protocol());
    acceptor->set_option(tcp::acceptor::reuse_address(true));
    acceptor->set_option(ReusePort(true));
    acceptor->bind(endpoint);
    acceptor->listen(asio::socket_base::max_listen_connections);
    {
      const std::lock_guard lock(this->mutex);
      this->listeners.push_back({loop.WeakIo(), acceptor});
    }
    loop.Spawn([this, acceptor] { this->AcceptLoop(acceptor); });
  } catch (const boost::system::system_error& error) {
    throw Error("cannot listen on " + endpoint_text + ": " + error.what());
  }
}

auto HttpServer::AcceptLoop(const std::shared_ptr<Acceptor>& acceptor) -> void {
  while (!this->stopping) {
    TcpSocket socket(FiberLoop::Current().Io().get_executor());
    const auto result =
        Await([&](auto handler) { acceptor->async_accept(socket, handler); });
    if (this->stopping) return;
    if (result.error) {
      SleepFor(kAcceptRetryDelay);
      continue;
    }
    if (this->connections >= this->options.max_connections) continue;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++this->connections;
    auto shared_socket = std::make_shared<TcpSocket>(std::move(socket));
    FiberLoop::Current().Spawn([this, shared_socket] {
      TryStep("connection", [&] { this->Serve(std::move(*shared_socket)); });
      --this->connections;
    });
  }
}

auto HttpServer::SetLimits(const HttpLimits& limits) -> void {
  this->options.limits = limits;
}

auto HttpServer::SetIdle(Connection* connection, bool is_idle) -> void {
  const std::lock_guard lock(this->mutex);
  if (is_idle) {
    this->idle_connections.insert(connection);
  } else {
    this->idle_connections.erase(connection);
  }
}

auto HttpServer::CloseIdleConnections() -> void {
  const std::lock_guard lock(this->mutex);
  for (auto* connection : this->idle_connections) connection->CancelRead();
}

auto HttpServer::SetReading(Connection* connection, bool is_reading) -> void {
  const std::lock_guard lock(this->mutex);
  auto& connections = this->reading_connections[&FiberLoop::Current()];
  if (is_reading) {
    connections.insert(connection);
  } else {
    connections.erase(connection);
  }
}

auto HttpServer::PostToLoops(
    const std::function<void(const Listener&)>& function) -> void {
  const std::lock_guard lock(this->mutex);
  for (const auto& listener : this->listeners) {
    const auto io = listener.io.lock();
    if (io == nullptr) continue;
    asio::post(*io, [function, listener] { function(listener); });
  }
}

auto HttpServer::RejectUnreadRequests() -> void {
  this->rejecting_unread = true;
  this->PostToLoops([this](const Listener&) { this->CancelReads(); });
}

auto HttpServer::CancelReads() -> void {
  const std::lock_guard lock(this->mutex);
  for (auto* connection : this->reading_connections[&FiberLoop::Current()]) {
    connection->CancelRead();
  }
}

auto HttpServer::Serve(TcpSocket socket) -> void {
  Connection connection(*this, std::move(socket));
  connection.Run();
}

auto HttpServer::StopAccepting() -> void {
  this->stopping = true;
  this->PostToLoops([](const Listener& listener) {
    boost::system::error_code ignored;
    if (const auto acceptor = listener.acceptor.lock()) {
      acceptor->close(ignored);
    }
  });
}

auto HttpServer::Drain(std::chrono::milliseconds timeout) -> std::size_t {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  // Sleep first: a request that has just arrived is counted only once its
  // fiber has run.
  do {
    SleepFor(kDrainPollInterval);
  } while (this->in_flight != 0 && std::chrono::steady_clock::now() < deadline);
  return this->in_flight;
}

}  // namespace currantbeam
