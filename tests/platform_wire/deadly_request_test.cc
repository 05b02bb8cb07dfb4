#include <gtest/gtest.h>

#include <map>
#include <string>

#include "platform_wire/wire_fleet.h"
#include "port_block.h"

namespace currantbeam {
namespace {

constexpr int kHosts = 2;
/// Two report intervals, and time for the reports on a busy machine.
constexpr auto kExchangeTime = std::chrono::milliseconds(2000);
/// Time in which the hosts receive the entry of a server that starts again.
constexpr auto kEntryTime = std::chrono::milliseconds(1000);
constexpr int kMaxEnds = 6;

class DeadlyRequest : public testing::Test {
 protected:
  DeadlyRequest() {
    for (int i = 0; i < 2; ++i) {
      this->fleet.Backend(i).SetCrash([this, i] {
        SleepFor(this->crash_delay);
        ++this->ends;
        this->fleet.EndServer(i);
        FiberLoop::Current().Spawn([this, i] {
          SleepFor(std::chrono::milliseconds(100));
          this->fleet.RestartServer(i);
        });
      });
    }
  }

  auto Send(const std::string& path, http::verb method, int host)
      -> HttpResponse {
    const auto id = "id-" + std::to_string(++this->send_count);
    return this->fleet.Send(path, id, method, -1,
                            std::chrono::milliseconds(2000), host);
  }
  /// Sends the request to each host in turn until it is refused.
  auto SendUntilRefused(const std::string& path, http::verb method)
      -> HttpResponse {
    HttpResponse response;
    for (int i = 0; this->ends < kMaxEnds; ++i) {
      response = this->Send(path, method, i % kHosts);
      if (response.body() == "quarantined\n") return response;
      SleepFor(kEntryTime);
    }
    return response;
  }

  WireFleet fleet{TestPort(0), kHosts};
  int ends = 0;
  int send_count = 0;
  std::chrono::milliseconds crash_delay{0};  ///< After a server begins to run.
};

TEST_F(DeadlyRequest, StopsReachingServersAtAllHostsOnceThreeHaveEnded) {
  this->fleet.Run([&] {
    const auto refused =
        this->SendUntilRefused("/order/deadly", http::verb::post);
    EXPECT_EQ(refused.result(), http::status::service_unavailable);
    EXPECT_EQ(refused[kVerdictHeader], "not-run");
    EXPECT_GE(this->ends, 3);
    SleepFor(kExchangeTime);
    const int ends_before = this->ends;
    for (int i = 0; i < 3 * kHosts; ++i) {
      const auto response =
          this->Send("/order/deadly", http::verb::post, i % kHosts);
      EXPECT_EQ(response.body(), "quarantined\n");
    }
    EXPECT_EQ(this->ends, ends_before);
    const auto other = this->Send("/order/a", http::verb::post, 1);
    EXPECT_EQ(other.result(), http::status::ok);
  });
}

TEST_F(DeadlyRequest, RunsOnceAtATimeOfAllHostsOnceAServerHasEnded) {
  this->crash_delay = std::chrono::milliseconds(300);
  this->fleet.Run([&] {
    this->Send("/order/deadly", http::verb::post, 0);
    SleepFor(kExchangeTime);
    int running = 2 * kHosts;
    std::map<std::string, int> bodies;
    for (int i = 0; i < 2 * kHosts; ++i) {
      FiberLoop::Current().Spawn([&, i] {
        const auto response =
            this->Send("/order/deadly", http::verb::post, i % kHosts);
        ++bodies[response.body()];
        --running;
      });
    }
    EXPECT_TRUE(WireFleet::Await([&] { return running == 0; }));
    EXPECT_EQ(bodies["no-answer\n"], 1);
    EXPECT_EQ(bodies["suspect\n"], 2 * kHosts - 1);
    EXPECT_EQ(this->ends, 2);
  });
}

TEST_F(DeadlyRequest, IsAnsweredAsPerhapsRunIfItsRetryIsRefused) {
  this->fleet.Run([&] {
    bool was_retry_refused = false;
    HttpResponse response;
    for (int i = 0; this->ends < kMaxEnds; ++i) {
      const int ends_before = this->ends;
      response = this->Send("/safe/deadly", http::verb::get, 0);
      const bool has_run = this->ends != ends_before;
      EXPECT_EQ(response.result_int(), has_run ? 502U : 503U);
      if (!has_run) break;
      was_retry_refused |= response.body() == "quarantined\n";
      SleepFor(kEntryTime);
    }
    EXPECT_EQ(response.body(), "quarantined\n");
    EXPECT_TRUE(was_retry_refused);
  });
}

}  // namespace
}  // namespace currantbeam
