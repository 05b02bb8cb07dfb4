#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

#include "fiber_test.h"
#include "http/http.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const std::uint16_t kPort = TestPort(0);
const std::uint16_t kRaisedTimeoutPort = TestPort(1);

class OkHandler : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    exchange.Send(HttpResponse{http::status::ok, 11});
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}
};

/// @return whether the server answers the request that was sent.
auto IsAnswered(HttpConnection& connection) -> bool {
  try {
    connection.ReadHead(false, std::chrono::seconds(2));
    while (!connection.ReadBody(std::chrono::seconds(1)).empty()) {
    }
    return true;
  } catch (const RequestError&) {
    return false;
  }
}

// On an overloaded host the idle timeout of a connection can be queued behind
// a slow handler while the next request arrives. Closing the connection then
// would cut off a request that its caller had sent in time.
TEST(IdleConnection, AnswersARequestThatArrivesBeforeItsTimeoutIsHandled) {
  OkHandler handler;
  auto options = LocalServerOptions(kPort);
  options.limits.idle_timeout = milliseconds(200);
  HttpServer server(options, handler);
  FiberLoop server_loop;
  server.Listen(server_loop);
  std::thread server_thread([&] { server_loop.Run(); });
  std::atomic<bool> is_idle{false};
  std::promise<void> may_send;
  std::promise<void> is_sent;
  // While the first handler blocks the loop, the second timer and the idle
  // timeout expire. Both are then queued, and the request arrives while the
  // second handler runs.
  boost::asio::steady_timer first(server_loop.Io());
  boost::asio::steady_timer second(server_loop.Io());
  server_loop.Spawn([&] {
    while (!is_idle) SleepFor(milliseconds(1));
    first.expires_after(milliseconds(50));
    second.expires_after(milliseconds(100));
    first.async_wait([](const auto& /*error*/) {
      std::this_thread::sleep_for(milliseconds(300));
    });
    second.async_wait([&](const auto& /*error*/) {
      may_send.set_value();
      is_sent.get_future().wait();
    });
  });
  FiberLoop client_loop;
  bool is_answered = false;
  RunInFiber(client_loop, [&] {
    HttpConnection connection("127.0.0.1", kPort);
    connection.Connect(std::chrono::seconds(1));
    connection.Send({http::verb::get, "/", 11}, std::chrono::seconds(1));
    EXPECT_TRUE(IsAnswered(connection));
    is_idle = true;
    may_send.get_future().wait();
    connection.Send({http::verb::get, "/", 11}, std::chrono::seconds(1));
    is_sent.set_value();
    is_answered = IsAnswered(connection);
  });
  server.StopAccepting();
  server_loop.Stop();
  server_thread.join();
  EXPECT_TRUE(is_answered);
}

// Callers reuse the connection by the raised limit.
TEST(IdleConnection, StaysOpenIfTheTimeoutIsRaisedWhileItIsIdle) {
  OkHandler handler;
  auto options = LocalServerOptions(kRaisedTimeoutPort);
  options.limits.idle_timeout = milliseconds(200);
  HttpServer server(options, handler);
  FiberLoop loop;
  bool is_answered = false;
  RunInFiber(loop, [&] {
    server.Listen(loop);
    HttpConnection connection("127.0.0.1", kRaisedTimeoutPort);
    connection.Connect(std::chrono::seconds(1));
    connection.Send({http::verb::get, "/", 11}, std::chrono::seconds(1));
    EXPECT_TRUE(IsAnswered(connection));
    auto limits = options.limits;
    limits.idle_timeout = std::chrono::seconds(30);
    server.SetLimits(limits);
    SleepFor(2 * options.limits.idle_timeout);
    EXPECT_FALSE(connection.IsStale());
    connection.Send({http::verb::get, "/", 11}, std::chrono::seconds(1));
    is_answered = IsAnswered(connection);
    server.StopAccepting();
  });
  EXPECT_TRUE(is_answered);
}

}  // namespace
}  // namespace currantbeam
