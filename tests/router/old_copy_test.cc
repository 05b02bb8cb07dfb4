#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <tuple>

#include "router/fleet_simulation.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The smallest bound of a deployment on requests to servers that leave.
constexpr auto kBound = milliseconds(2000);
constexpr int kServers = 6;

auto Server(int number) -> std::string {
  return "server-" + std::to_string(number);
}

/// Fleets of different sizes that send requests while hosts get no rows.
class OldCopyTest : public testing::TestWithParam<std::tuple<int, unsigned>> {
 protected:
  /// Starts the fleet, with servers that all hosts know.
  auto Start() -> void {
    this->fleet.AwaitStart();
    for (int i = 0; i < kServers; ++i) {
      this->fleet.Put("backends", Server(i), "ready");
    }
    SleepFor(seconds(2));
    this->fleet.StartRequests();
  }
  /// All but the last servers leave one after the other.
  auto LeaveOneByOne() -> void {
    for (int i = 0; i + 1 < kServers; ++i) {
      SleepFor(milliseconds(700));
      this->fleet.Leave(Server(i));
      SleepFor(milliseconds(300));
      if (i > 0) this->fleet.Remove("backends", Server(i - 1));
    }
    SleepFor(seconds(3));
  }
  /// The hosts of a failure domain, the coordinator among them.
  auto IsolateAThird() -> void {
    const auto first = this->fleet.Coordinator();
    for (int i = 0; i < this->fleet.Hosts() / 3; ++i) {
      this->isolated.push_back((first + i) % this->fleet.Hosts());
      this->fleet.Isolate(this->isolated.back(), true);
    }
  }
  auto ExpectNoLateSend() const -> void {
    std::cout << "latest send " << this->fleet.LatestSend().count()
              << " ms after the server had said that it leaves\n";
    EXPECT_LT(this->fleet.LatestSend().count(), kBound.count());
  }

  FleetSimulation fleet{std::get<0>(GetParam()), std::get<1>(GetParam())};
  std::vector<int> isolated;
};

TEST_P(OldCopyTest, HostsThatAreCutOffSendNothingToServersThatHaveLeft) {
  this->fleet.Run([this] {
    this->Start();
    this->IsolateAThird();
    this->LeaveOneByOne();
    this->ExpectNoLateSend();
  });
}

TEST_P(OldCopyTest, HostsThatAreCutOffGoOnSendingToServersThatServe) {
  this->fleet.Run([this] {
    this->Start();
    this->IsolateAThird();
    SleepFor(seconds(5));
    const auto server = Server(kServers - 1);
    std::map<int, int> before;
    for (const int host : this->isolated) {
      before[host] = this->fleet.Sends(host, server);
    }
    SleepFor(seconds(2));
    for (const int host : this->isolated) {
      EXPECT_GE(this->fleet.Sends(host, server) - before[host], 15)
          << "host " << host;
    }
  });
}

TEST_P(OldCopyTest, NothingIsSentToServersThatLeaveWhileTheStoreIsDown) {
  this->fleet.Run([this] {
    this->Start();
    for (int i = 0; i < this->fleet.Hosts(); ++i) {
      this->fleet.SetAccess(i, StoreAccess::kSilent);
    }
    this->LeaveOneByOne();
    this->ExpectNoLateSend();
  });
}

TEST_P(OldCopyTest, NothingIsSentAfterAWaitToAServerThatHasLeftMeanwhile) {
  this->fleet.Run([this] {
    this->fleet.SetSendWait(milliseconds(2500));
    this->Start();
    this->LeaveOneByOne();
    this->ExpectNoLateSend();
  });
}

TEST_P(OldCopyTest, NothingIsSentLateOnceTheCoordinatorIsGone) {
  this->fleet.Run([this] {
    this->Start();
    this->fleet.Stop(this->fleet.Coordinator());
    this->LeaveOneByOne();
    this->ExpectNoLateSend();
  });
}

TEST_P(OldCopyTest, NothingIsSentLateWhileResponsesOfTheStoreAreLost) {
  this->fleet.Run([this] {
    this->Start();
    for (int i = 0; i < this->fleet.Hosts(); ++i) {
      this->fleet.SetAccess(i, StoreAccess::kLossy);
    }
    this->LeaveOneByOne();
    this->ExpectNoLateSend();
  });
}

TEST_P(OldCopyTest, NothingIsSentToServersThatLeftSilentlyWhileReadsHang) {
  this->fleet.Run([this] {
    this->Start();
    this->IsolateAThird();
    for (const int host : this->isolated) {
      this->fleet.SetAccess(host, StoreAccess::kHung);
    }
    for (int i = 0; i + 1 < kServers; ++i) {
      SleepFor(milliseconds(400));
      this->fleet.LeaveSilently(Server(i));
    }
    SleepFor(seconds(3));
    this->ExpectNoLateSend();
  });
}

INSTANTIATE_TEST_SUITE_P(HostsAndSeed, OldCopyTest,
                         testing::Combine(testing::Values(9, 65, 295),
                                          testing::Values(1U, 2U)));

}  // namespace
}  // namespace currantbeam
