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

class EmptyHandler : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    exchange.Send(HttpResponse{http::status::ok, 11});
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}
};

auto CanConnect(std::uint16_t port) -> bool {
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

auto Fetch(ConnectionPool& pool, std::uint16_t port) -> void {
  auto connection = pool.Acquire("127.0.0.1", port, kTimeout);
  connection->Send(HttpRequest{http::verb::get, "/", 11}, kTimeout);
  connection->ReadHead(false, kTimeout);
  pool.Release("127.0.0.1", port, std::move(connection));
}

// The acceptor of a server that outlived its loop used the freed I/O context.
TEST(DestructionOrder, AServerMayOutliveItsLoop) {
  EmptyHandler handler;
  HttpServer server(LocalServerOptions(TestPort(30)), handler);
  {
    FiberLoop loop;
    RunInFiber(loop, [&] {
      server.Listen(loop);
      EXPECT_TRUE(CanConnect(TestPort(30)));
    });
    EXPECT_FALSE(CanConnect(TestPort(30)));
  }
  server.RejectUnreadRequests();
  server.StopAccepting();
}

TEST(DestructionOrder, AServerMayOutliveALoopThatNeverRan) {
  EmptyHandler handler;
  HttpServer server(LocalServerOptions(TestPort(31)), handler);
  {
    FiberLoop loop;
    server.Listen(loop);
    EXPECT_TRUE(CanConnect(TestPort(31)));
  }
  EXPECT_FALSE(CanConnect(TestPort(31)));
  server.StopAccepting();
}

// The clean-up of a loop used a pool that had been destroyed before.
TEST(DestructionOrder, APoolMayBeDestroyedBeforeItsLoopStops) {
  EmptyHandler handler;
  HttpServer server(LocalServerOptions(TestPort(32)), handler);
  FiberLoop loop;
  RunInFiber(loop, [&] {
    server.Listen(loop);
    auto pool = std::make_unique<ConnectionPool>();
    Fetch(*pool, TestPort(32));
    EXPECT_EQ(pool->IdleCount(), 1U);
  });
}

TEST(DestructionOrder, APoolMayOutliveItsLoop) {
  EmptyHandler handler;
  HttpServer server(LocalServerOptions(TestPort(33)), handler);
  ConnectionPool pool;
  {
    FiberLoop loop;
    RunInFiber(loop, [&] {
      server.Listen(loop);
      Fetch(pool, TestPort(33));
    });
  }
  EXPECT_EQ(pool.IdleCount(), 0U);
}

}  // namespace
}  // namespace currantbeam
