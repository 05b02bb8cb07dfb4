#pragma once

#include <array>
#include <boost/asio.hpp>
#include <cstddef>
#include <future>
#include <string>

namespace currantbeam {

/// Accepts one connection, reads the head of a request and sends a prefix, then
/// one part again and again, at full speed and on a thread of its own. Stops
/// once the client closes the connection or kMaxBytes are sent.
class ByteSource {
 public:
  static constexpr std::size_t kMaxBytes = 64 * 1024 * 1024;

  ByteSource(std::string prefix, std::string part)
      : prefix(std::move(prefix)),
        part(std::move(part)),
        acceptor(this->io, {boost::asio::ip::address_v4::loopback(), 0}) {
    this->is_cut =
        std::async(std::launch::async, [this] { return this->Serve(); });
  }

  [[nodiscard]] auto Port() const -> std::uint16_t {
    return this->acceptor.local_endpoint().port();
  }
  /// Waits for the end of the connection.
  /// @return whether the client closed it before kMaxBytes were sent.
  auto WasClosedByClient() -> bool { return this->is_cut.get(); }

 private:
  auto Serve() -> bool {
    boost::asio::ip::tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    boost::system::error_code error;
    std::string request;
    std::array<char, 1024> buffer{};
    while (!error && request.find("\r\n\r\n") == std::string::npos) {
      const auto size = socket.read_some(boost::asio::buffer(buffer), error);
      request.append(buffer.data(), size);
    }
    boost::asio::write(socket, boost::asio::buffer(this->prefix), error);
    std::size_t sent = 0;
    while (!error && sent < kMaxBytes) {
      sent +=
          boost::asio::write(socket, boost::asio::buffer(this->part), error);
    }
    return sent < kMaxBytes;
  }

  std::string prefix;
  std::string part;
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::future<bool> is_cut;
};

}  // namespace currantbeam
