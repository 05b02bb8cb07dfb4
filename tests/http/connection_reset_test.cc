#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <future>

#include "fiber_test.h"
#include "http/http.h"

namespace currantbeam {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// Accepts one connection and reads it to its end, on a thread of its own.
class SilentServer {
 public:
  SilentServer() : acceptor(this->io, {tcp::v4(), 0}) {
    this->end = std::async(std::launch::async, [this] { return this->Read(); });
  }

  [[nodiscard]] auto Port() const -> std::uint16_t {
    return this->acceptor.local_endpoint().port();
  }
  /// @return how the connection ended.
  auto End() -> boost::system::error_code { return this->end.get(); }

 private:
  auto Read() -> boost::system::error_code {
    tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    std::array<char, 1024> buffer{};
    boost::system::error_code error;
    while (!error) socket.read_some(boost::asio::buffer(buffer), error);
    return error;
  }

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::future<boost::system::error_code> end;
};

auto MakeRequest() -> HttpRequest {
  HttpRequest request{http::verb::post, "/grant", 11};
  request.body() = "{}";
  return request;
}

TEST(ConnectionReset, ACallThatTimedOutIsNotDeliveredLater) {
  SilentServer server;
  FiberLoop loop;
  RunInFiber(loop, [&] {
    EXPECT_THROW(
        Fetch("127.0.0.1", server.Port(), MakeRequest(), milliseconds(50)),
        RequestError);
  });
  EXPECT_EQ(server.End(), boost::asio::error::connection_reset);
}

TEST(ConnectionReset, AnAbandonedCallIsNotDeliveredLater) {
  SilentServer server;
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    connection.Connect(milliseconds(1000));
    connection.Send(MakeRequest(), milliseconds(1000));
  });
  EXPECT_EQ(server.End(), boost::asio::error::connection_reset);
}

TEST(ConnectionReset, AnUnusedConnectionIsClosedInOrder) {
  SilentServer server;
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    connection.Connect(milliseconds(1000));
  });
  EXPECT_EQ(server.End(), boost::asio::error::eof);
}

}  // namespace
}  // namespace currantbeam
