#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform_wire/wire_fleet.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

/// Longer than any stop grace in these tests.
constexpr auto kEndlessWork = std::chrono::seconds(30);
constexpr auto kLongRoute = R"(,
      {"name":"r6","prefix":"/long/","type":"unsafe","timeoutS":9,
       "latencyTargetS":0.3,"priority":1,"service":"plain","maxAttempts":2})";

class Shutdown : public testing::Test {
 protected:
  /// Sends a request whose deadline is later than the end of the stop, in a
  /// fiber of its own; `on_status` receives the status, 0 without an answer.
  auto SendLongRequest(const std::string& path, const std::string& id,
                       http::verb method,
                       std::function<void(unsigned)> on_status) -> void {
    FiberLoop::Current().Spawn(
        [this, path, id, method, on_status = std::move(on_status)] {
          try {
            const auto response =
                this->fleet.Send(path, id, method, -1, std::chrono::seconds(9));
            on_status(response.result_int());
          } catch (const RequestError&) {
            on_status(0);
          }
        });
  }

  WireFleet fleet{TestPort(20)};
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

TEST_F(Shutdown, AnswersRequestsWhoseDeadlineIsLaterThanItsEnd) {
  this->fleet.Run([&] {
    std::vector<unsigned> statuses;
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).behaviour.work = kEndlessWork;
    }
    const auto on_status = [&](unsigned status) { statuses.push_back(status); };
    this->SendLongRequest("/safe/a", "id-0", http::verb::get, on_status);
    this->SendLongRequest("/order/a", "id-1", http::verb::post, on_status);
    EXPECT_TRUE(WireFleet::Await([&] {
      return this->fleet.RunCount("id-0") + this->fleet.RunCount("id-1") == 2;
    }));
    this->fleet.StopRouter();
    EXPECT_TRUE(WireFleet::Await([&] { return statuses.size() == 2; }));
    EXPECT_EQ(statuses, (std::vector<unsigned>{504, 504}));
    EXPECT_TRUE(
        WireFleet::Await([&] { return this->fleet.HasRouterStopped(); }));
  });
}

TEST_F(Shutdown, LetsServersDropTheRequestsThatTheyCannotStartBeforeItsEnd) {
  this->fleet.SetStopGrace(std::chrono::seconds(6));
  this->fleet.PutRoutes(2, kLongRoute);
  this->fleet.Run([&] {
    std::vector<unsigned> statuses;
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).behaviour.work = kEndlessWork;
      this->fleet.Backend(i).behaviour.slots = 0;
    }
    this->fleet.StopRouter();
    EXPECT_TRUE(WireFleet::Await([&] { return !this->fleet.IsReady(); }));
    this->SendLongRequest("/long/a", "id-0", http::verb::post,
                          [&](unsigned status) { statuses.push_back(status); });
    EXPECT_TRUE(WireFleet::Await([&] { return !statuses.empty(); }));
    EXPECT_EQ(statuses, std::vector<unsigned>{503});
    EXPECT_EQ(this->fleet.RunCount("id-0"), 0);
  });
}

TEST_F(Shutdown, RejectsARequestThatIsNotReceivedBeforeItsEnd) {
  this->fleet.Run([&] {
    const auto answer = this->fleet.SendRaw(
        "POST /order/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\n"
        "Content-Length: 4\r\n\r\nab",
        [&] { this->fleet.StopRouter(); });
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(this->fleet.RunCount("id-1"), 0);
  });
}

TEST_F(Shutdown, RefusesALateRequestThatItsEndCouldCut) {
  this->fleet.SetStopGrace(std::chrono::seconds(10));
  this->fleet.PutRoutes(2, kLongRoute);
  this->fleet.Run([&] {
    this->fleet.StopRouter();
    EXPECT_TRUE(WireFleet::Await([&] { return !this->fleet.IsReady(); }));
    SleepFor(std::chrono::seconds(3));
    const auto short_answer =
        this->fleet.Send("/order/a", "id-0", http::verb::post);
    EXPECT_EQ(short_answer.result_int(), 200U);
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).behaviour.work = kEndlessWork;
    }
    const auto long_answer = this->fleet.Send(
        "/long/a", "id-1", http::verb::post, -1, std::chrono::seconds(9));
    EXPECT_EQ(long_answer.result_int(), 503U);
    EXPECT_EQ(long_answer[http::field::connection], "close");
    EXPECT_EQ(this->fleet.RunCount("id-1"), 0);
  });
}

TEST_F(Shutdown, RefusesARequestThatIsReceivedTooLateToBeAnswered) {
  this->fleet.SetStopGrace(std::chrono::seconds(6));
  this->fleet.PutRoutes(2, kLongRoute);
  this->fleet.Run([&] {
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).behaviour.work = kEndlessWork;
    }
    HttpConnection idle("127.0.0.1", this->fleet.CallersPort());
    idle.Connect(std::chrono::seconds(1));
    const auto answer = this->fleet.SendRaw(
        "POST /long/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\n"
        "Content-Length: 4\r\n\r\nab",
        [&] {
          this->fleet.StopRouter();
          EXPECT_TRUE(WireFleet::Await([&] { return idle.IsStale(); }));
        },
        "cd");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
    EXPECT_EQ(this->fleet.RunCount("id-1"), 0);
  });
}

}  // namespace
}  // namespace currantbeam
