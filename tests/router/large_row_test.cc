#include <gtest/gtest.h>

#include <iostream>
#include <random>
#include <tuple>

#include "router/fleet_simulation.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRoutes = 1800;
/// One host in ten has a fast link.
constexpr int kHostsPerFastLink = 10;
constexpr double kFastLinkMbps = 200;

/// A deployment: its size, its slowest links and its bound on the delay of a
/// configuration.
struct Deployment {
  int hosts;
  double slow_link_mbps;
  milliseconds bound;
};

auto MakeLinks(const Deployment& deployment) -> std::vector<double> {
  std::vector<double> links;
  for (int i = 0; i < deployment.hosts; ++i) {
    const bool is_fast = i % kHostsPerFastLink == 1;
    links.push_back(is_fast ? kFastLinkMbps : deployment.slow_link_mbps);
  }
  return links;
}

/// @return a row with a version and routes, as operators write it.
auto MakeRoutes(int version) -> std::string {
  std::mt19937 random(static_cast<unsigned>(version));
  auto row = std::to_string(version);
  for (int i = 0; i < kRoutes; ++i) {
    row += R"({"prefix":"/)" + std::to_string(random()) +
           R"(/","name":"route-)" + std::to_string(i) +
           R"(","type":"safe","service":"catalogue","timeoutS":2.5,)"
           R"("latencyTargetS":0.8,"priority":1,"maxAttempts":2})";
  }
  return row;
}

/// Fleets in which a large row changes while something is lost.
class LargeRowTest
    : public testing::TestWithParam<std::tuple<Deployment, milliseconds>> {
 protected:
  auto PutRoutes() -> void {
    this->fleet.Put("routes", "config", MakeRoutes(++this->version));
  }
  /// Changes the routes, and runs what disturbs the fleet so much later.
  auto PlayWith(const std::function<void()>& disturb) -> void {
    this->fleet.Run([&] {
      this->fleet.AwaitStart();
      this->PutRoutes();
      SleepFor(std::get<1>(GetParam()));
      disturb();
      for (int i = 0; i < 4; ++i) {
        SleepFor(milliseconds(1500));
        this->PutRoutes();
      }
      SleepFor(std::get<0>(GetParam()).bound);
      std::cout << "longest delay " << this->fleet.LongestDelay().count()
                << " ms, " << this->fleet.StoreCalls()
                << " calls to the store, " << this->fleet.StoreBytes()
                << " bytes from it\n";
      EXPECT_LT(this->fleet.LongestDelay().count(),
                std::get<0>(GetParam()).bound.count());
    });
  }
  auto SetAccessOfAll(StoreAccess access) -> void {
    for (int i = 0; i < this->fleet.Hosts(); ++i) {
      this->fleet.SetAccess(i, access);
    }
  }

  FleetSimulation fleet{std::get<0>(GetParam()).hosts, 1,
                        MakeLinks(std::get<0>(GetParam()))};
  int version = 1;
};

TEST_P(LargeRowTest, IsInForceInTimeInCalm) {
  this->PlayWith([] {});
}

TEST_P(LargeRowTest, IsInForceInTimeAfterASecondWithoutTheStore) {
  this->PlayWith([this] {
    this->SetAccessOfAll(StoreAccess::kSilent);
    SleepFor(seconds(1));
    this->SetAccessOfAll(StoreAccess::kServed);
  });
}

TEST_P(LargeRowTest, IsInForceInTimeAfterTheStoreWasRestored) {
  this->PlayWith([this] {
    this->SetAccessOfAll(StoreAccess::kRejected);
    SleepFor(seconds(1));
    this->fleet.RestoreStore();
    this->SetAccessOfAll(StoreAccess::kServed);
  });
}

TEST_P(LargeRowTest, IsInForceInTimeWhenTheCoordinatorStops) {
  this->PlayWith([this] { this->fleet.Stop(this->fleet.Coordinator()); });
}

TEST_P(LargeRowTest, IsInForceInTimeWhenAResponseOfTheStoreIsLost) {
  this->PlayWith(
      [this] { this->fleet.LoseNextResponse(this->fleet.Coordinator()); });
}

INSTANTIATE_TEST_SUITE_P(
    DeploymentAndPhase, LargeRowTest,
    testing::Combine(testing::Values(Deployment{9, 750, milliseconds(2000)},
                                     Deployment{65, 10, milliseconds(2500)},
                                     Deployment{83, 10, milliseconds(2500)},
                                     Deployment{295, 20, milliseconds(3000)}),
                     testing::Values(milliseconds(0), milliseconds(200),
                                     milliseconds(500), milliseconds(1000))));

}  // namespace
}  // namespace currantbeam
