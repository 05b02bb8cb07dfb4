#include <gtest/gtest.h>

#include "fiber_test.h"
#include "platform_wire/wire_fleet.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

/// @return the Retry-After in seconds; 0 if there is none.
auto RetryAfterOf(const HttpResponse& response) -> double {
  const std::string text(response[http::field::retry_after]);
  return text.empty() ? 0 : std::stod(text);
}

/// A router with two plain and two keyed servers, some of which state in their
/// responses that they leave or want no requests for some time.
class ServerState : public testing::Test {
 protected:
  // Server 0 is the faster one, so that requests go there if they may.
  ServerState() { this->fleet.Backend(1).behaviour.work = milliseconds(150); }

  auto RunsOf(int number) -> std::size_t {
    return this->fleet.Backend(number).RunCounts().size();
  }
  auto SendOne() -> unsigned {
    return this->fleet
        .Send("/safe/a", "id-" + std::to_string(this->sent_count++))
        .result_int();
  }
  /// Sends requests until the server has run one more.
  auto AwaitRun(int number) -> bool {
    const auto before = this->RunsOf(number);
    return WireFleet::Await([&] {
      this->SendOne();
      return this->RunsOf(number) > before;
    });
  }
  /// Sends requests, which must succeed.
  /// @return whether the server ran none of them.
  auto ReceivesNoRequests(int number) -> bool {
    const auto before = this->RunsOf(number);
    for (int i = 0; i < 15; ++i) EXPECT_EQ(this->SendOne(), 200U);
    return this->RunsOf(number) == before;
  }

  WireFleet fleet{TestPort(0)};
  int sent_count = 0;
};

TEST_F(ServerState, ServerThatLeavesGetsNoRequestsOnAnOldCopy) {
  this->fleet.Run([&] {
    ASSERT_EQ(this->SendOne(), 200U);
    this->fleet.Store().SetHung(true);
    SleepFor(std::chrono::seconds(2));
    this->fleet.Backend(0).behaviour.is_leaving = true;
    EXPECT_TRUE(this->ReceivesNoRequests(0));
  });
}

class LeavingServer : public ServerState {
 protected:
  /// Waits until the router has received a response from server 0 while that
  /// leaves.
  auto Leave() -> void {
    this->fleet.Backend(0).behaviour.is_leaving = true;
    ASSERT_TRUE(this->AwaitRun(0));
  }
};

TEST_F(LeavingServer, GetsNoFurtherRequests) {
  this->fleet.Run([&] {
    this->Leave();
    EXPECT_TRUE(this->ReceivesNoRequests(0));
  });
}

TEST_F(LeavingServer, GetsNoFurtherRequestsWhileTheStoreIsUnreachable) {
  this->fleet.Run([&] {
    this->SendOne();
    this->fleet.Store().SetUnavailable(true);
    SleepFor(milliseconds(300));
    this->Leave();
    EXPECT_TRUE(this->ReceivesNoRequests(0));
    this->fleet.Store().SetUnavailable(false);
    SleepFor(milliseconds(1000));
    EXPECT_TRUE(this->ReceivesNoRequests(0));
  });
}

TEST_F(LeavingServer, GetsNoRequestsThoughItsEntryIsReadyOrReturns) {
  this->fleet.Run([&] {
    this->Leave();
    this->fleet.Register(0);
    SleepFor(milliseconds(400));
    EXPECT_TRUE(this->ReceivesNoRequests(0));
    this->fleet.Unregister(0);
    SleepFor(milliseconds(400));
    this->fleet.Register(0);
    SleepFor(milliseconds(400));
    EXPECT_TRUE(this->ReceivesNoRequests(0));
  });
}

TEST_F(LeavingServer, GetsRequestsOnceAnotherProcessOfItRegisters) {
  this->fleet.Run([&] {
    this->Leave();
    EXPECT_TRUE(this->ReceivesNoRequests(0));
    this->fleet.Backend(0).behaviour.is_leaving = false;
    this->fleet.Register(0, true);
    this->fleet.Register(0);
    EXPECT_TRUE(this->AwaitRun(0));
  });
}

TEST_F(LeavingServer, LosesItsKeysToAnother) {
  this->fleet.Run([&] {
    const auto held = [&](int number) {
      return this->fleet.Backend(number).LeasedKeyCount();
    };
    const auto send = [&](int key) {
      return this->fleet
          .Send("/keyed/a", "id-" + std::to_string(this->sent_count++),
                http::verb::get, key)
          .result_int();
    };
    ASSERT_TRUE(
        WireFleet::Await([&] { return held(2) + held(3) == kKeyCount; }));
    this->fleet.Backend(2).behaviour.is_leaving = true;
    const auto before = this->RunsOf(2);
    int key = 0;
    ASSERT_TRUE(WireFleet::Await([&] {
      key = (key + 997) % kKeyCount;
      send(key);
      return this->RunsOf(2) > before;
    }));
    const auto runs = this->RunsOf(2);
    EXPECT_TRUE(WireFleet::Await([&] { return held(3) == kKeyCount; }));
    EXPECT_EQ(send(key), 200U);
    EXPECT_EQ(this->RunsOf(2), runs);
  });
}

class PausedServer : public ServerState {
 protected:
  /// Has the server reject one request with this Retry-After.
  auto Pause(int number, const std::string& retry_after) -> void {
    auto& behaviour = this->fleet.Backend(number).behaviour;
    behaviour.retry_after = retry_after;
    behaviour.reject_requests = 1;
    ASSERT_TRUE(WireFleet::Await([&] {
      this->SendOne();
      return behaviour.reject_requests == 0;
    }));
  }
};

TEST_F(PausedServer, GetsNoRequestsUntilItsPauseEnds) {
  this->fleet.Run([&] {
    this->Pause(0, "1.5");
    const auto paused_at = std::chrono::steady_clock::now();
    const auto before = this->RunsOf(0);
    while (std::chrono::steady_clock::now() - paused_at < milliseconds(1200)) {
      EXPECT_EQ(this->SendOne(), 200U);
    }
    EXPECT_EQ(this->RunsOf(0), before);
    EXPECT_TRUE(this->AwaitRun(0));
  });
}

TEST_F(PausedServer, WithoutAnAlternativeRequestsAreRefusedUntilItsPauseEnds) {
  this->fleet.Run([&] {
    this->fleet.Unregister(1);
    ASSERT_TRUE(WireFleet::Await([&] {
      return this->fleet.Metrics().find("currantbeam_servers 3\n") !=
             std::string::npos;
    }));
    this->Pause(0, "1.5");
    const auto before = this->RunsOf(0);
    for (int i = 0; i < 10; ++i) {
      const auto sent_at = std::chrono::steady_clock::now();
      const auto response =
          this->fleet.Send("/order/a", "order-" + std::to_string(i));
      EXPECT_LT(std::chrono::steady_clock::now() - sent_at, milliseconds(300));
      EXPECT_EQ(response.result_int(), 503U);
      const auto retry_after = RetryAfterOf(response);
      EXPECT_GT(retry_after, 0.5);
      EXPECT_LE(retry_after, 1.5);
    }
    EXPECT_EQ(this->RunsOf(0), before);
    EXPECT_TRUE(this->AwaitRun(0));
  });
}

TEST_F(PausedServer, GetsNoRequestsOfItsKeysUntilItsPauseEnds) {
  this->fleet.Run([&] {
    const auto send = [&] {
      return this->fleet.Send("/keyed/a",
                              "id-" + std::to_string(this->sent_count++),
                              http::verb::get, 7);
    };
    ASSERT_TRUE(WireFleet::Await([&] { return send().result_int() == 200; }));
    const int owner = this->RunsOf(2) != 0 ? 2 : 3;
    auto& behaviour = this->fleet.Backend(owner).behaviour;
    behaviour.retry_after = "1.5";
    behaviour.reject_requests = 1;
    EXPECT_EQ(send().result_int(), 503U);
    const auto before = this->RunsOf(owner);
    const auto response = send();
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_GT(RetryAfterOf(response), 0.5);
    EXPECT_EQ(this->RunsOf(owner), before);
    EXPECT_TRUE(WireFleet::Await([&] { return send().result_int() == 200; }));
  });
}

TEST_F(PausedServer, IsNotExcludedByAnInvalidPause) {
  this->fleet.Run([&] {
    for (const auto* retry_after : {"-5", "nan", "inf", "soon", "5 s", "0"}) {
      this->Pause(0, retry_after);
      const auto paused_at = std::chrono::steady_clock::now();
      EXPECT_TRUE(this->AwaitRun(0)) << retry_after;
      EXPECT_LT(std::chrono::steady_clock::now() - paused_at,
                milliseconds(3000))
          << retry_after;
    }
  });
}

}  // namespace
}  // namespace currantbeam
