#include <gtest/gtest.h>

#include "fiber_test.h"
#include "http/http.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr int kParts = 12;
constexpr auto kPartInterval = milliseconds(50);
/// Shorter than the whole response takes.
constexpr auto kHeadTimeout = milliseconds(300);

/// Sends a body in parts, with pauses between them.
class SlowSender : public HttpHandler {
 public:
  explicit SlowSender(int parts) : parts(parts) {}

  auto Handle(HttpExchange& exchange) -> void override {
    const std::string part(FetchTimeout::kMinProgressBytes, 'x');
    const HttpResponse response{http::status::ok, 11};
    exchange.StartBody(response.base(), kParts * part.size());
    for (int i = 0; i < this->parts; ++i) {
      SleepFor(kPartInterval);
      exchange.SendBody(part);
    }
    // The rest never comes.
    if (this->parts < kParts) SleepFor(std::chrono::seconds(60));
    exchange.FinishBody();
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}

 private:
  int parts;
};

auto FetchFrom(SlowSender& sender, FetchTimeout timeout) -> std::size_t {
  HttpServer server(LocalServerOptions(TestPort(9)), sender);
  FiberLoop loop;
  std::size_t bytes = 0;
  RunInFiber(loop, [&] {
    server.Listen(loop);
    try {
      bytes = Fetch("127.0.0.1", TestPort(9),
                    HttpRequest{http::verb::get, "/", 11}, timeout)
                  .body()
                  .size();
    } catch (const RequestError&) {
      bytes = 0;
    }
  });
  return bytes;
}

TEST(SlowResponse, IsReadWholeWhileItMakesProgress) {
  SlowSender sender(kParts);
  EXPECT_EQ(FetchFrom(sender, {kHeadTimeout, milliseconds(5000)}),
            kParts * FetchTimeout::kMinProgressBytes);
}

TEST(SlowResponse, IsGivenUpWhenItStalls) {
  SlowSender sender(2);
  EXPECT_EQ(FetchFrom(sender, {kHeadTimeout, milliseconds(200)}), 0U);
}

TEST(SlowResponse, EndsAtTheTimeoutOfTheWholeExchangeWithoutAStallTimeout) {
  SlowSender sender(kParts);
  EXPECT_EQ(FetchFrom(sender, kHeadTimeout), 0U);
}

}  // namespace
}  // namespace currantbeam
