#include "platform_wire/scripted_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace currantbeam {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

}  // namespace

auto ScriptedConnection::ReadRequest() -> bool {
  const std::string end_of_head = "\r\n\r\n";
  std::array<char, 1024> part{};
  auto end = this->received.find(end_of_head);
  while (end == std::string::npos) {
    const auto result = Await([&](auto handler) {
      this->socket.async_read_some(asio::buffer(part), handler);
    });
    if (result.error) return false;
    this->received.append(part.data(), result.bytes);
    end = this->received.find(end_of_head);
  }
  this->head = this->received.substr(0, end + 2);
  this->received.erase(0, end + end_of_head.size());
  return true;
}

auto ScriptedConnection::Header(const std::string& name) const -> std::string {
  const auto prefix = "\r\n" + name + ": ";
  const auto line = this->head.find(prefix);
  if (line == std::string::npos) return "";
  const auto start = line + prefix.size();
  return this->head.substr(start, this->head.find('\r', start) - start);
}

auto ScriptedConnection::Write(const std::string& bytes) -> bool {
  const auto result = Await([&](auto handler) {
    asio::async_write(this->socket, asio::buffer(bytes), handler);
  });
  return !result.error;
}

auto ScriptedConnection::Close() -> void {
  boost::system::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

auto ScriptedConnection::Reset() -> void {
  boost::system::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

auto ScriptedServer::Listen() -> void {
  auto& loop = FiberLoop::Current();
  const auto acceptor = std::make_shared<Acceptor>(loop.Io());
  const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), this->port);
  acceptor->open(endpoint.protocol());
  acceptor->set_option(tcp::acceptor::reuse_address(true));
  acceptor->bind(endpoint);
  acceptor->listen(asio::socket_base::max_listen_connections);
  loop.Spawn([this, acceptor] { this->AcceptLoop(*acceptor); });
}

auto ScriptedServer::AcceptLoop(Acceptor& acceptor) -> void {
  while (true) {
    TcpSocket socket(FiberLoop::Current().Io().get_executor());
    const auto result =
        Await([&](auto handler) { acceptor.async_accept(socket, handler); });
    if (result.error) return;
    auto connection = std::make_shared<ScriptedConnection>(std::move(socket),
                                                           this->accepted++);
    FiberLoop::Current().Spawn(
        [this, connection] { this->script(*connection); });
  }
}

}  // namespace currantbeam
