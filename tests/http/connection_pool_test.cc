#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "fiber_test.h"
#include "http/http.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kTimeout = milliseconds(60'000);

/// Answers one request, and closes the connection when told to.
class KeepAliveServer {
 public:
  /// @param keep_alive  the value of the Keep-Alive header of its answer.
  explicit KeepAliveServer(std::string keep_alive)
      : keep_alive(std::move(keep_alive)),
        acceptor(this->io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket(this->io) {}

  [[nodiscard]] auto Port() const -> std::uint16_t {
    return this->acceptor.local_endpoint().port();
  }
  /// Accepts the connection that `pool` opens, and sends the answer to its
  /// request, so that the connection is idle then.
  auto AnswerRequestOf(ConnectionPool& pool) -> void {
    auto connection = pool.Acquire("127.0.0.1", this->Port(), kTimeout);
    this->acceptor.accept(this->socket);
    connection->Send(HttpRequest{http::verb::get, "/", 11}, kTimeout);
    const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: " +
                        this->keep_alive + "\r\n\r\n";
    boost::asio::write(this->socket, boost::asio::buffer(answer));
    connection->ReadHead(false, kTimeout);
    pool.Release("127.0.0.1", this->Port(), std::move(connection));
  }
  auto Close() -> void { this->socket.close(); }

 private:
  std::string keep_alive;
  boost::asio::io_context io;
  tcp::acceptor acceptor;
  tcp::socket socket;
};

// The connections to servers that were replaced stayed open until the host had
// no descriptors left.
TEST(ConnectionPool, PruneClosesWhatIsIdleButOfNoUse) {
  KeepAliveServer replaced("timeout=600");
  KeepAliveServer expired("timeout=0");
  KeepAliveServer current("timeout=600");
  FiberLoop loop;
  RunInFiber(loop, [&] {
    auto& pool = ConnectionPool::Current();
    for (auto* server : {&replaced, &expired, &current}) {
      server->AnswerRequestOf(pool);
    }
    replaced.Close();
    EXPECT_EQ(pool.IdleCount(), 3U);
    pool.Prune();
    EXPECT_EQ(pool.IdleCount(), 1U);
    EXPECT_EQ(pool.IdleCount("127.0.0.1", current.Port()), 1U);
  });
}

}  // namespace
}  // namespace currantbeam
