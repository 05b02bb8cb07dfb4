#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "keys/ownership_simulation.h"

namespace currantbeam {
namespace {

constexpr int kWarmUpSteps = 60;
constexpr int kFaultSteps = 400;
constexpr int kMaxFaultSteps = 200;
/// After the last fault, all keys have to be granted again within 15 s, the
/// time in which a deployment has to recover: 4 s until the lease expires and
/// 10.8 s until the longest grant made under it expires. Delayed writes and the
/// takeover by another host may add to these.
constexpr int kMaxRecoverySteps = 300;
constexpr int kLastKind = static_cast<int>(OwnerFault::Kind::kLast);

auto FaultGenerator() -> rc::Gen<OwnerFault> {
  const auto kind = rc::gen::map(
      rc::gen::inRange(0, kLastKind + 1),
      [](int number) { return static_cast<OwnerFault::Kind>(number); });
  return rc::gen::build<OwnerFault>(
      rc::gen::set(&OwnerFault::kind, kind),
      rc::gen::set(&OwnerFault::target, rc::gen::inRange(0, 3)),
      rc::gen::set(&OwnerFault::start,
                   rc::gen::inRange(kWarmUpSteps, kWarmUpSteps + kFaultSteps)),
      rc::gen::set(&OwnerFault::length, rc::gen::inRange(1, kMaxFaultSteps)));
}

auto Describe(const std::vector<OwnerFault>& faults) -> std::string {
  std::string text;
  for (const auto& fault : faults) {
    text += "kind " + std::to_string(static_cast<int>(fault.kind)) + " of " +
            std::to_string(fault.target) + " at " +
            std::to_string(fault.start) + " for " +
            std::to_string(fault.length) + "; ";
  }
  return text;
}

auto RunFaults(unsigned seed, const std::vector<OwnerFault>& faults)
    -> std::string {
  OwnershipSimulation simulation(seed);
  simulation.Run(faults, kWarmUpSteps + kFaultSteps + kMaxFaultSteps);
  if (!simulation.Violation().empty()) return simulation.Violation();
  if (simulation.RunUntilAllHeld(kMaxRecoverySteps) >= 0) return {};
  if (!simulation.Violation().empty()) return simulation.Violation();
  return "not all keys are granted again after the faults";
}

TEST(OwnerFuzz, EachKeyHasOneHolderAndIsServedAgain) {
  const bool passed =
      rc::check("one holder for each key, rising tokens, recovery", [] {
        const auto seed = *rc::gen::inRange(1U, 1'000'000U);
        const auto count = *rc::gen::inRange(0, 7);
        const auto faults = *rc::gen::container<std::vector<OwnerFault>>(
            static_cast<std::size_t>(count), FaultGenerator());
        const auto violation = RunFaults(seed, faults);
        RC_LOG() << "seed " << seed << ": " << Describe(faults) << violation;
        RC_ASSERT(violation.empty());
      });
  EXPECT_TRUE(passed);
}

/// Each pair of kinds of faults, overlapping at several offsets.
TEST(OwnerFuzz, PairsOfFaultsLeaveOneHolder) {
  for (int a = 0; a <= kLastKind; ++a) {
    for (int b = 0; b <= kLastKind; ++b) {
      for (int offset = 0; offset < 100; offset += 25) {
        const std::vector<OwnerFault> faults = {
            {static_cast<OwnerFault::Kind>(a), 0, kWarmUpSteps, 120},
            {static_cast<OwnerFault::Kind>(b), 1, kWarmUpSteps + offset, 120}};
        EXPECT_EQ(RunFaults(7, faults), "") << Describe(faults);
      }
    }
  }
}

/// A coordinator that loses the store grants the longest time to live before
/// its lease expires. Then a server leaves and no longer responds, but keeps
/// serving its keys. Its stripes must not get another owner before these grants
/// expire, whether the lease expires or is renewed at the last moment.
TEST(OwnershipSimulation, WaitsForMaxTtlGrantsBeforeReassigning) {
  constexpr int kStoreCutStep = 100;
  constexpr int kRemainingSteps = 450;
  constexpr int kLeaseSteps = 80;
  using Kind = OwnerFault::Kind;
  for (int coordinator = 0; coordinator < OwnershipSimulation::kHosts;
       ++coordinator) {
    for (const int cut_steps : {50, 56, 62, 68, kRemainingSteps}) {
      for (int unresponsive_after = kLeaseSteps / 2;
           unresponsive_after < kLeaseSteps + 20; unresponsive_after += 2) {
        const std::vector<OwnerFault> faults = {
            {Kind::kStoreCut, coordinator, kStoreCutStep, cut_steps},
            {Kind::kServerUnresponsive, 0, kStoreCutStep + unresponsive_after,
             kRemainingSteps},
            {Kind::kServerLeaves, 0, kStoreCutStep + unresponsive_after,
             kRemainingSteps}};
        OwnershipSimulation simulation(1);
        simulation.Run(faults, kStoreCutStep + kRemainingSteps);
        EXPECT_EQ(simulation.Violation(), "") << Describe(faults);
      }
    }
  }
}

/// A server leaves one second before the store goes down, so that the restore
/// takes back the moves of its stripes, and another one leaves after it.
class StoreRollbackTest : public testing::Test {
 protected:
  static constexpr int kLeaveStep = 220;
  static constexpr int kOutageStep = kLeaveStep + 20;
  static constexpr int kSecondLeaveDelaySteps = 10;
  static constexpr int kSteps = 700;
  static constexpr int kCopyAges = 9;
  static constexpr unsigned kSeeds = 5;

  static auto FaultsOf(int copy_age, int server, int outage_steps)
      -> std::vector<OwnerFault> {
    using Kind = OwnerFault::Kind;
    const int second_leave_step =
        kOutageStep + outage_steps + kSecondLeaveDelaySteps;
    return {{Kind::kStoreRestored, copy_age, kOutageStep, outage_steps},
            {Kind::kServerLeaves, server, kLeaveStep, kSteps - kLeaveStep},
            {Kind::kServerLeaves, server + 1, second_leave_step,
             kSteps - second_leave_step}};
  }
  static auto ExpectNoViolation(const std::vector<OwnerFault>& faults) -> void {
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      OwnershipSimulation simulation(seed);
      simulation.Run(faults, kSteps);
      EXPECT_EQ(simulation.Violation(), "")
          << "seed " << seed << ": " << Describe(faults);
      if (!simulation.Violation().empty()) continue;
      EXPECT_GE(simulation.RunUntilAllHeld(kMaxRecoverySteps), 0)
          << simulation.Violation() << " seed " << seed << ": "
          << Describe(faults);
    }
  }
};

TEST_F(StoreRollbackTest, TokensRiseAcrossAStoreRollback) {
  for (int age = 0; age < kCopyAges; ++age) {
    for (int server = 0; server < OwnershipSimulation::kServers; ++server) {
      // The coordinator lease expires in the longer outage only.
      for (const int outage_steps : {40, 120}) {
        ExpectNoViolation(FaultsOf(age, server, outage_steps));
      }
    }
  }
}

// A coordinator that restarts while the store is down does not know the tokens
// that the restore took back.
TEST_F(StoreRollbackTest, TokensRiseIfTheCoordinatorRestartsMeanwhile) {
  for (int age = 0; age < kCopyAges; ++age) {
    for (int host = 0; host < OwnershipSimulation::kHosts; ++host) {
      auto faults = FaultsOf(age, 0, 40);
      faults.push_back(
          {OwnerFault::Kind::kHostRestart, host, kOutageStep + 10, 1});
      ExpectNoViolation(faults);
    }
  }
}

// Writes sent before the restore are made after it, under versions that are
// assigned again.
TEST_F(StoreRollbackTest, DelayedWritesAfterARollbackLeaveOneHolder) {
  for (int age = 0; age < kCopyAges; ++age) {
    for (int host = 0; host < OwnershipSimulation::kHosts; ++host) {
      auto faults = FaultsOf(age, 0, 40);
      faults.push_back(
          {OwnerFault::Kind::kDelayedWrites, host, kOutageStep - 20, 80});
      ExpectNoViolation(faults);
    }
  }
}

// A server that restarts faster than its silence is noticed must not get its
// keys under the token of its former process.
TEST(OwnershipSimulation, AServerThatRestartsAtOnceGetsAHigherToken) {
  constexpr int kFirstCrashStep = 100;
  constexpr int kCrashSteps = 12;
  constexpr int kMaxDownSteps = 16;
  for (int down = OwnershipSimulation::kMinDownSteps; down <= kMaxDownSteps;
       ++down) {
    for (int offset = 0; offset < kCrashSteps; ++offset) {
      const std::vector<OwnerFault> faults = {{OwnerFault::Kind::kServerCrash,
                                               offset, kFirstCrashStep + offset,
                                               down}};
      OwnershipSimulation simulation(static_cast<unsigned>(offset + 1));
      simulation.Run(faults, kFirstCrashStep + kCrashSteps + kMaxRecoverySteps);
      EXPECT_EQ(simulation.Violation(), "") << Describe(faults);
    }
  }
}

TEST(OwnershipSimulation, ServesAllKeysSoonAfterTheStart) {
  OwnershipSimulation simulation(1);
  // The first owners are chosen after the servers were stable for 1 s.
  const int steps = simulation.RunUntilAllHeld(60);
  EXPECT_GE(steps, 0) << simulation.Violation();
  EXPECT_LE(steps, 40);
}

}  // namespace
}  // namespace currantbeam
