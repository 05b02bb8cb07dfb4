#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "ownership/domain_simulation.h"

namespace currantbeam {
namespace {

constexpr int kWarmUpSteps = 300;
constexpr int kFaultSteps = 600;
/// Within these steps (four seconds) after the last fault, all slots must be
/// served again.
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
                   rc::gen::inRange(kWarmUpSteps, kWarmUpSteps + kFaultSteps)),
      rc::gen::set(&Fault::length, rc::gen::inRange(1, 150)));
}

auto DescribeFaults(const std::vector<Fault>& faults) -> std::string {
  std::string text;
  for (const auto& fault : faults) text += Describe(fault) + "; ";
  return text;
}

/// Runs one fault history.
/// @return the violated invariant; empty if none was.
auto RunHistory(const DomainSimulation::Options& options,
                const std::vector<Fault>& faults) -> std::string {
  DomainSimulation simulation(options);
  simulation.Run(faults, kWarmUpSteps + kFaultSteps + 150);
  if (!simulation.Violation().empty()) return simulation.Violation();
  const auto steps = simulation.Settle(kSettleSteps);
  if (!simulation.Violation().empty()) return simulation.Violation();
  if (steps < 0) return "some slots are not served after the faults have ended";
  return {};
}

TEST(OwnershipFuzz, RandomFaultsNeverViolateInvariants) {
  const bool passed = rc::check(
      "one owner per slot and per epoch, one active placer, served again", [] {
        DomainSimulation::Options options;
        options.seed = *rc::gen::inRange(1, 1'000'000);
        const auto count = *rc::gen::inRange(0, 9);
        const auto faults = *rc::gen::container<std::vector<Fault>>(
            static_cast<std::size_t>(count), GenFault());
        const auto violation = RunHistory(options, faults);
        RC_LOG() << DescribeFaults(faults) << violation;
        RC_ASSERT(violation.empty());
      });
  EXPECT_TRUE(passed);
}

TEST(OwnershipFuzz, EveryPairOfFaultsTwice) {
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int> target(0, 11);
  std::uniform_int_distribution<int> gap(0, 60);
  std::uniform_int_distribution<int> length(5, 120);
  for (int first = 0; first <= kLastKind; ++first) {
    for (int second = 0; second <= kLastKind; ++second) {
      std::vector<Fault> faults;
      int start = kWarmUpSteps;
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
      EXPECT_EQ(RunHistory(options, faults), "") << DescribeFaults(faults);
    }
  }
}

/// The loss of one process or host after the domain has run without faults.
struct LossTestCase {
  std::string name;
  std::vector<Fault::Kind> kinds;
  bool of_active_host;  ///< Else the host after it.
  bool platform_down;
};

/// Checks that after the loss no slot stays unserved for longer than a second.
auto CheckServedWithinASecond(const LossTestCase& loss, std::uint64_t seed)
    -> void {
  constexpr int kQuietSteps = 1500;
  constexpr int kMaxUnservedSteps = 100;
  constexpr int kFaultLength = 400;
  DomainSimulation::Options options;
  options.seed = seed;
  options.base_loss_percent = 0;  // A lost message would be another fault.
  DomainSimulation simulation(options);
  simulation.Run({}, kQuietSteps);
  ASSERT_EQ(simulation.ServedSlots(), options.slots);
  const auto active = simulation.ActivePlacer();
  const auto target = loss.of_active_host ? active : active + 1;
  std::vector<Fault> faults;
  for (const auto kind : loss.kinds) {
    faults.push_back({kind, target, 0, kQuietSteps + 1, kFaultLength});
  }
  if (loss.platform_down) {
    faults.push_back(
        {Fault::Kind::kPlatformDown, 0, 0, kQuietSteps + 1, kFaultLength});
  }
  int longest = 0;
  int current = 0;
  for (int i = 0; i < kFaultLength; ++i) {
    simulation.Run(faults, 1);
    current = simulation.ServedSlots() == options.slots ? 0 : current + 1;
    longest = std::max(longest, current);
  }
  EXPECT_EQ(simulation.Violation(), "") << "seed " << seed;
  EXPECT_LE(longest, kMaxUnservedSteps) << "seed " << seed;
}

class SingleLoss : public testing::TestWithParam<LossTestCase> {};

TEST_P(SingleLoss, EverySlotIsServedAgainWithinASecond) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CheckServedWithinASecond(GetParam(), seed);
    if (HasFatalFailure()) return;
  }
}

TEST(HostLoss, ReorderedReportsDoNotDelayTheElection) {
  const LossTestCase loss{
      "Host",
      {Fault::Kind::kPausePlacer, Fault::Kind::kPauseGateway},
      true,
      false};
  for (std::uint64_t seed = 201; seed <= 400; ++seed) {
    CheckServedWithinASecond(loss, seed);
    if (HasFatalFailure()) return;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, SingleLoss,
    testing::Values(
        LossTestCase{"Placer", {Fault::Kind::kPausePlacer}, true, false},
        LossTestCase{
            "PlacerRestart", {Fault::Kind::kRestartPlacer}, true, false},
        LossTestCase{"Host",
                     {Fault::Kind::kPausePlacer, Fault::Kind::kPauseGateway},
                     true,
                     false},
        LossTestCase{"Gateway", {Fault::Kind::kPauseGateway}, false, false},
        LossTestCase{
            "GatewayRestart", {Fault::Kind::kRestartGateway}, false, false},
        LossTestCase{"Server", {Fault::Kind::kPauseServer}, false, false},
        LossTestCase{
            "ServerRestart", {Fault::Kind::kRestartServer}, false, false},
        LossTestCase{"PlacerInOutage", {Fault::Kind::kPausePlacer}, true, true},
        LossTestCase{"HostInOutage",
                     {Fault::Kind::kPausePlacer, Fault::Kind::kPauseGateway},
                     true,
                     true},
        LossTestCase{
            "GatewayInOutage", {Fault::Kind::kPauseGateway}, false, true},
        LossTestCase{
            "ServerInOutage", {Fault::Kind::kPauseServer}, false, true}),
    [](const auto& info) { return info.param.name; });

/// Runs random histories of these kinds of faults. With a mechanism disabled,
/// the invariant checks must find violations.
/// @return the number of histories that violated an invariant.
auto CountViolations(const DomainSimulation::Options& base, int histories,
                     const std::vector<Fault::Kind>& kinds) -> int {
  std::mt19937_64 random(11);
  std::uniform_int_distribution<std::size_t> kind(0, kinds.size() - 1);
  std::uniform_int_distribution<int> target(0, 11);
  std::uniform_int_distribution<int> start(kWarmUpSteps,
                                           kWarmUpSteps + kFaultSteps);
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
    DomainSimulation simulation(options);
    simulation.Run(faults, kWarmUpSteps + kFaultSteps + 150);
    if (!simulation.Violation().empty()) ++violations;
  }
  return violations;
}

TEST(OwnershipFuzz, DetectsDriverLeaseLongerThanThePlacerAssumes) {
  DomainSimulation::Options options;
  options.gateway.driver_lease = std::chrono::seconds(3);
  EXPECT_GT(CountViolations(options, 100,
                            {Fault::Kind::kPartitionHosts,
                             Fault::Kind::kPartitionHostFromServer,
                             Fault::Kind::kPartitionHostFromServer}),
            0);
}

TEST(OwnershipFuzz, DetectsGatewaysThatFollowTwoPlacersAtOnce) {
  DomainSimulation::Options options;
  options.gateway.leader_lease = std::chrono::milliseconds(1);
  options.gateway.clock_drift_allowance = std::chrono::milliseconds(0);
  EXPECT_GT(
      CountViolations(options, 40,
                      {Fault::Kind::kPartitionHosts, Fault::Kind::kPausePlacer,
                       Fault::Kind::kPlatformDown}),
      0);
}

}  // namespace
}  // namespace currantbeam
