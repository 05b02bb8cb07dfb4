#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <thread>

#include "fiber_test.h"
#include "http/http.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::size_t kMaxSentBytes = 256 * 1024 * 1024;
const auto* const kChunkedHead =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

class CountingHandler : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    ++this->requests;
    exchange.Send(HttpResponse{http::status::ok, 11});
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}

  std::atomic<int> requests{0};
};

/// Sends a prefix, then a part again and again until the server closes the
/// connection or kMaxSentBytes are sent.
/// @return whether the server closed it.
auto IsCutOff(std::uint16_t port, const std::string& prefix,
              const std::string& part) -> bool {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  boost::system::error_code error;
  std::size_t sent = 0;
  boost::asio::write(socket, boost::asio::buffer(prefix), error);
  while (!error && sent < kMaxSentBytes) {
    sent += boost::asio::write(socket, boost::asio::buffer(part), error);
  }
  return sent < kMaxSentBytes;
}

/// A server that receives requests from IsCutOff().
class EndlessRequest : public testing::Test {
 protected:
  auto Run(const HttpServer::Options& options, const std::string& part)
      -> bool {
    HttpServer server(options, this->handler);
    FiberLoop loop;
    server.Listen(loop);
    std::thread thread([&] { loop.Run(); });
    const bool is_cut = IsCutOff(options.port, kChunkedHead, part);
    server.StopAccepting();
    loop.Stop();
    thread.join();
    return is_cut;
  }

  CountingHandler handler;
};

// Only the bytes inside chunks counted towards the limit on a body.
TEST_F(EndlessRequest, OfChunkExtensionsIsRejectedAtTheLimitInBytes) {
  auto options = LocalServerOptions(TestPort(2));
  options.limits.body_bytes = 1024 * 1024;
  options.io_timeout = milliseconds(60'000);
  EXPECT_TRUE(this->Run(options, "1;" + std::string(4096, 'x') + "\r\nx\r\n"));
  EXPECT_EQ(this->handler.requests, 0);
}

// The timeout interrupted a wait for bytes only, and bytes were always there.
TEST_F(EndlessRequest, IsRejectedAfterItsTimeout) {
  auto options = LocalServerOptions(TestPort(3));
  options.limits.body_bytes = 1ULL << 40;
  options.io_timeout = milliseconds(50);
  EXPECT_TRUE(this->Run(options, "40\r\n" + std::string(64, 'x') + "\r\n"));
  EXPECT_EQ(this->handler.requests, 0);
}

TEST_F(EndlessRequest, OfTheLargestLengthInTheSmallestChunksIsAccepted) {
  constexpr std::size_t kLength = 100'000;
  auto options = LocalServerOptions(TestPort(4));
  options.limits.body_bytes = kLength;
  HttpServer server(options, this->handler);
  FiberLoop loop;
  server.Listen(loop);
  std::thread thread([&] { loop.Run(); });
  std::string request = kChunkedHead;
  for (std::size_t i = 0; i < kLength; ++i) request += "1\r\nx\r\n";
  request += "0\r\n\r\n";
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4::loopback(), options.port});
  boost::asio::write(socket, boost::asio::buffer(request));
  std::array<char, 15> status{};
  boost::asio::read(socket, boost::asio::buffer(status));
  EXPECT_EQ(std::string(status.data(), status.size()), "HTTP/1.1 200 OK");
  server.StopAccepting();
  loop.Stop();
  thread.join();
}

}  // namespace
}  // namespace currantbeam
