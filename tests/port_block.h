#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <stdexcept>
#include <utility>

namespace currantbeam {

/// Ports of localhost that only this test process uses. HttpServer binds with
/// SO_REUSEPORT, so two processes could listen on the same port and share the
/// connections. The first port of a block is bound here without that option
/// until the process ends, which reserves the others for it.
class PortBlock {
 public:
  static constexpr int kSize = 64;

  PortBlock() {
    for (int base = kFirstPort; base < kEndPort; base += kSize) {
      if (this->Reserve(base)) return;
    }
    throw std::runtime_error("no block of free ports on localhost");
  }

  /// @param index  from 0 to kSize - 2.
  [[nodiscard]] auto Port(int index) const -> std::uint16_t {
    return static_cast<std::uint16_t>(this->base + 1 + index);
  }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  /// Below the ports that Linux assigns to outgoing connections.
  static constexpr int kFirstPort = 28000;
  static constexpr int kEndPort = 32400;

  auto Reserve(int first) -> bool {
    Acceptor guard(this->io);
    if (!Bind(guard, first, false)) return false;
    for (int port = first + 1; port < first + kSize; ++port) {
      Acceptor probe(this->io);
      // Ports of closed connections may be used again.
      if (!Bind(probe, port, true)) return false;
    }
    this->reserved = std::move(guard);
    this->base = first;
    return true;
  }

  /// @return false if another socket is bound to the port.
  static auto Bind(Acceptor& acceptor, int port, bool reuse_address) -> bool {
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(port));
    boost::system::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(Acceptor::reuse_address(reuse_address));
    acceptor.bind(endpoint, error);
    return !error;
  }

  boost::asio::io_context io;
  Acceptor reserved{this->io};
  int base = 0;
};

/// @param index  from 0 to PortBlock::kSize - 2.
/// @return a port that only this test process uses.
inline auto TestPort(int index) -> std::uint16_t {
  static const PortBlock block;
  return block.Port(index);
}

}  // namespace currantbeam
