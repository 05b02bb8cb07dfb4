#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "platform_wire/wire_fleet.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

class Shutdown : public testing::Test {
 protected:
  WireFleet fleet{27320};
};

TEST_F(Shutdown, CompletesRequestsInFlight) {
  this->fleet.Run([&] {
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).behaviour.work = milliseconds(300);
    }
    int answered = 0;
    int started = 0;
    for (int i = 0; i < 6; ++i) {
      ++started;
      FiberLoop::Current().Spawn([&, i] {
        SleepFor(milliseconds(70 * i));
        const auto id = "id-" + std::to_string(i);
        if (this->fleet.Send("/safe/a", id).result_int() == 200) ++answered;
      });
    }
    SleepFor(milliseconds(100));
    this->fleet.StopRouter();
    EXPECT_TRUE(
        WireFleet::Await([&] { return this->fleet.HasRouterStopped(); }));
    EXPECT_TRUE(WireFleet::Await([&] { return answered == started; }));
  });
}

TEST_F(Shutdown, ClosesIdleConnections) {
  this->fleet.Run([&] {
    std::vector<std::unique_ptr<HttpConnection>> opened;
    for (int i = 0; i < 5; ++i) {
      opened.push_back(std::make_unique<HttpConnection>(
          "127.0.0.1", this->fleet.CallersPort()));
      opened.back()->Connect(std::chrono::seconds(1));
      HttpRequest request{http::verb::get, "/safe/a", 11};
      request.set(http::field::host, "h.example");
      request.set("X-Request-Id", "id-" + std::to_string(i));
      opened.back()->Exchange(request, std::chrono::seconds(1));
      while (!opened.back()->ReadBody(std::chrono::seconds(1)).empty()) {
      }
      EXPECT_FALSE(opened.back()->IsStale());
    }
    this->fleet.StopRouter();
    EXPECT_TRUE(
        WireFleet::Await([&] { return this->fleet.HasRouterStopped(); }));
    for (const auto& connection : opened) EXPECT_TRUE(connection->IsStale());
  });
}

TEST_F(Shutdown, CompletesARequestThatIsStillBeingReceived) {
  this->fleet.SetStopGrace(std::chrono::seconds(6));
  this->fleet.Run([&] {
    HttpConnection idle("127.0.0.1", this->fleet.CallersPort());
    idle.Connect(std::chrono::seconds(1));
    const auto answer = this->fleet.SendRaw(
        "POST /safe/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\n"
        "Content-Length: 4\r\n\r\nab",
        [&] {
          this->fleet.StopRouter();
          // Idle connections are closed while this request, which is not
          // complete yet, is not counted as in flight.
          EXPECT_TRUE(WireFleet::Await([&] { return idle.IsStale(); }));
        },
        "cd");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(this->fleet.RunCount("id-1"), 1);
  });
}

}  // namespace
}  // namespace currantbeam
