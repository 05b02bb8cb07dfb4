#include <gtest/gtest.h>

#include "fiber_test.h"
#include "platform_wire/wire_fleet.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

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

  WireFleet fleet{27300};
  int sent_count = 0;
};

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

}  // namespace
}  // namespace currantbeam
