#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// A client's connection to a ScriptedServer.
class ScriptedConnection {
 public:
  ScriptedConnection(TcpSocket socket, int number)
      : socket(std::move(socket)), number(number) {}

  /// @return the connection's number, from 0 in the order of acceptance.
  [[nodiscard]] auto Number() const -> int { return this->number; }
  /// Reads the head of the next request; the requests must have no body.
  /// @return false if the client closed the connection instead.
  auto ReadRequest() -> bool;
  /// @return the value of a header of the last request; empty if it is absent.
  [[nodiscard]] auto Header(const std::string& name) const -> std::string;
  /// @return false if the client has closed the connection.
  auto Write(const std::string& bytes) -> bool;
  /// Closes the connection; the client reads the end of the stream after all
  /// that was written.
  auto Close() -> void;
  /// Resets the connection.
  auto Reset() -> void;

 private:
  TcpSocket socket;
  int number;
  std::string received;
  std::string head;
};

/// A server on a loopback port that sends any bytes, such as malformed
/// responses. Runs on one loop.
class ScriptedServer {
 public:
  /// Handles one connection, which is closed when the script returns.
  using Script = std::function<void(ScriptedConnection&)>;
  ScriptedServer(std::uint16_t port, Script script)
      : port(port), script(std::move(script)) {}

  /// Listens on the loop of the calling fiber, until that stops.
  auto Listen() -> void;

 private:
  using Acceptor = boost::asio::basic_socket_acceptor<
      boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
  auto AcceptLoop(Acceptor& acceptor) -> void;

  std::uint16_t port;
  Script script;
  int accepted = 0;
};

}  // namespace currantbeam
