#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "ownership/domain_simulation.h"

namespace currantbeam {
namespace {

constexpr int kWarmUp = 300;
constexpr int kFaultSteps = 600;
/// Once all faults have ended: four seconds.
constexpr int kSettleSteps = 400;
constexpr int kLastKind = static_cast<int>(Fault::Kind::kLast);

auto GenFault() -> rc::Gen<Fault> {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind,
                   rc::gen::map(rc::gen::inRange(0, kLastKind + 1),
                                [](int kind) {
                                  return static_cast<Fault::Kind>(kind);
                                })),
      rc::gen::set(&Fault::a, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::b, rc::gen::inRange(0, 12)),
      rc::gen::set(&Fault::start,
                   rc::gen::inRange(kWarmUp, kWarmUp + kFaultSteps)),
      rc::gen::set(&Fault::length, rc::gen::inRange(1, 150)));
}

auto DescribeAll(const std::vector<Fault>& faults) -> std::string {
  std::string text;
  for (const auto& fault : faults) text += Describe(fault) + "; ";
  return text;
}

/// Runs one history and returns what it violated.
auto RunHistory(const DomainSimulation::Options& options,
                const std::vector<Fault>& faults) -> std::string {
  DomainSimulation world(options);
  world.Run(faults, kWarmUp + kFaultSteps + 150);
  if (!world.Violation().empty()) return world.Violation();
  const auto steps = world.Settle(kSettleSteps);
  if (!world.Violation().empty()) return world.Violation();
  if (steps < 0) return "not every slot is served after the faults";
  return {};
}

TEST(OwnershipFuzz, RandomHistoriesKeepOneOwner) {
  const bool passed =
      rc::check("one owner, one placer, one owner an epoch, served again", [] {
        DomainSimulation::Options options;
        options.seed = *rc::gen::inRange(1, 1'000'000);
        const auto count = *rc::gen::inRange(0, 9);
        const auto faults = *rc::gen::container<std::vector<Fault>>(
            static_cast<std::size_t>(count), GenFault());
        const auto violation = RunHistory(options, faults);
        RC_LOG() << DescribeAll(faults) << violation;
        RC_ASSERT(violation.empty());
      });
  EXPECT_TRUE(passed);
}

TEST(OwnershipFuzz, EveryPairOfFaultsTwiceOver) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int> target(0, 11);
  std::uniform_int_distribution<int> gap(0, 60);
  std::uniform_int_distribution<int> length(5, 120);
  for (int first = 0; first <= kLastKind; ++first) {
    for (int second = 0; second <= kLastKind; ++second) {
      std::vector<Fault> faults;
      int start = kWarmUp;
      for (int i = 0; i < 2; ++i) {
        for (const auto kind : {first, second}) {
          faults.push_back({static_cast<Fault::Kind>(kind), target(random),
                            target(random), start, length(random)});
          start += gap(random);
        }
        start += 100;
      }
      DomainSimulation::Options options;
      options.seed = static_cast<std::uint64_t>(first) * 100 +
                     static_cast<std::uint64_t>(second) + 1;
      EXPECT_EQ(RunHistory(options, faults), "") << DescribeAll(faults);
    }
  }
}

/// A single loss, after the domain has run quietly for a while.
struct LossCase {
  std::string name;
  std::vector<Fault::Kind> kinds;
  bool of_active_host;  ///< Else of the host after it.
  bool platform_down;
};

class SingleLoss : public testing::TestWithParam<LossCase> {};

TEST_P(SingleLoss, EverySlotIsServedAgainWithinASecond) {
  constexpr int kQuiet = 1500;
  constexpr int kOneSecond = 100;
  constexpr int kAfter = 400;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DomainSimulation::Options options;
    options.seed = seed;
    options.calm_loss_percent = 0;  // A lost message would be a second fault.
    DomainSimulation world(options);
    world.Run({}, kQuiet);
    ASSERT_EQ(world.ServedSlots(), options.slots);
    const auto active = world.ActivePlacer();
    const auto target = GetParam().of_active_host ? active : active + 1;
    std::vector<Fault> faults;
    for (const auto kind : GetParam().kinds) {
      faults.push_back({kind, target, 0, kQuiet + 1, kAfter});
    }
    if (GetParam().platform_down) {
      faults.push_back({Fault::Kind::kPlatformDown, 0, 0, kQuiet + 1, kAfter});
    }
    int longest = 0;
    int current = 0;
    for (int i = 0; i < kAfter; ++i) {
      world.Run(faults, 1);
      current = world.ServedSlots() == options.slots ? 0 : current + 1;
      longest = std::max(longest, current);
    }
    EXPECT_EQ(world.Violation(), "") << "seed " << seed;
    EXPECT_LE(longest, kOneSecond) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, SingleLoss,
    testing::Values(
        LossCase{"Placer", {Fault::Kind::kPausePlacer}, true, false},
        LossCase{"PlacerRestart", {Fault::Kind::kRestartPlacer}, true, false},
        LossCase{"Host",
                 {Fault::Kind::kPausePlacer, Fault::Kind::kPauseGateway},
                 true,
                 false},
        LossCase{"Gateway", {Fault::Kind::kPauseGateway}, false, false},
        LossCase{
            "GatewayRestart", {Fault::Kind::kRestartGateway}, false, false},
        LossCase{"Server", {Fault::Kind::kPauseServer}, false, false},
        LossCase{"ServerRestart", {Fault::Kind::kRestartServer}, false, false},
        LossCase{"PlacerInOutage", {Fault::Kind::kPausePlacer}, true, true},
        LossCase{"HostInOutage",
                 {Fault::Kind::kPausePlacer, Fault::Kind::kPauseGateway},
                 true,
                 true},
        LossCase{"GatewayInOutage", {Fault::Kind::kPauseGateway}, false, true},
        LossCase{"ServerInOutage", {Fault::Kind::kPauseServer}, false, true}),
    [](const auto& info) { return info.param.name; });

/// With a mechanism switched off the same histories must be caught.
auto CountViolations(const DomainSimulation::Options& base, int histories,
                     const std::vector<Fault::Kind>& kinds) -> int {
  std::mt19937_64 random(11);
  std::uniform_int_distribution<std::size_t> kind(0, kinds.size() - 1);
  std::uniform_int_distribution<int> target(0, 11);
  std::uniform_int_distribution<int> start(kWarmUp, kWarmUp + kFaultSteps);
  std::uniform_int_distribution<int> length(20, 150);
  int violations = 0;
  for (int i = 0; i < histories; ++i) {
    std::vector<Fault> faults;
    faults.reserve(12);
    for (int k = 0; k < 12; ++k) {
      faults.push_back({kinds[kind(random)], target(random), target(random),
                        start(random), length(random)});
    }
    auto options = base;
    options.seed = static_cast<std::uint64_t>(i) + 1;
    DomainSimulation world(options);
    world.Run(faults, kWarmUp + kFaultSteps + 150);
    if (!world.Violation().empty()) ++violations;
  }
  return violations;
}

TEST(OwnershipFuzz, FindsDriveLeasesThatOutlastThePlacersView) {
  DomainSimulation::Options options;
  options.gateway.driver_lease = std::chrono::seconds(3);
  EXPECT_GT(
      CountViolations(options, 100,
                      {Fault::Kind::kCutHosts, Fault::Kind::kCutHostFromServer,
                       Fault::Kind::kCutHostFromServer}),
      0);
}

TEST(OwnershipFuzz, FindsGatewaysThatFollowTwoPlacersAtATime) {
  DomainSimulation::Options options;
  options.gateway.leader_lease = std::chrono::milliseconds(1);
  options.gateway.clock_drift_allowance = std::chrono::milliseconds(0);
  EXPECT_GT(CountViolations(options, 40,
                            {Fault::Kind::kCutHosts, Fault::Kind::kPausePlacer,
                             Fault::Kind::kPlatformDown}),
            0);
}

}  // namespace
}  // namespace currantbeam
