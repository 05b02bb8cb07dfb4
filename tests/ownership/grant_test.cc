#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ownership/ownership.h"

namespace currantbeam {
namespace {

constexpr std::uint64_t kRun = 5;

auto MakeGrant(const Clock& clock, FencingToken token, std::uint64_t sequence,
               std::vector<SlotIndex> slots) -> Grant {
  Grant grant;
  grant.token = token;
  grant.sequence = sequence;
  grant.server_run = kRun;
  grant.expires_at = ToMicros(clock.Now() + std::chrono::milliseconds(100));
  grant.slots = std::move(slots);
  return grant;
}

TEST(GrantHolder, ExpiresOnItsOwnClock) {
  ManualClock clock;
  GrantHolder holder(clock, kRun);
  EXPECT_FALSE(holder.Holds(1));
  EXPECT_TRUE(holder.Accept(MakeGrant(clock, 1, 1, {1})).accepted);
  EXPECT_TRUE(holder.Allows(1, 1));
  EXPECT_FALSE(holder.Allows(1, 2));
  clock.Advance(std::chrono::milliseconds(100));
  EXPECT_FALSE(holder.Allows(1, 1));
}

struct GrantCase {
  std::string name;
  FencingToken token;
  std::uint64_t sequence;
  std::uint64_t run;
  bool accepted;
};

class GrantFaults : public testing::TestWithParam<GrantCase> {};

TEST_P(GrantFaults, AfterTokenTwoSequenceTwo) {
  const auto& fault = GetParam();
  ManualClock clock;
  GrantHolder holder(clock, kRun);
  ASSERT_TRUE(holder.Accept(MakeGrant(clock, 2, 2, {1})).accepted);
  auto grant = MakeGrant(clock, fault.token, fault.sequence, {1, 9});
  grant.server_run = fault.run;
  EXPECT_EQ(holder.Accept(grant).accepted, fault.accepted);
  EXPECT_EQ(holder.Holds(9), fault.accepted);
  EXPECT_TRUE(holder.Holds(1));
}

INSTANTIATE_TEST_SUITE_P(
    Table, GrantFaults,
    testing::Values(GrantCase{"NewerSequence", 2, 3, kRun, true},
                    GrantCase{"NewerToken", 3, 1, kRun, true},
                    GrantCase{"Repeated", 2, 2, kRun, false},
                    GrantCase{"OvertakenOnTheWay", 2, 1, kRun, false},
                    GrantCase{"OfAnEarlierDriver", 1, 99, kRun, false},
                    GrantCase{"ForAnEarlierRun", 3, 1, kRun - 1, false}),
    [](const auto& info) { return info.param.name; });

TEST(GrantHolder, EmptyGrantOfNewDriverFencesTheOldOne) {
  ManualClock clock;
  GrantHolder holder(clock, kRun);
  holder.Accept(MakeGrant(clock, 1, 1, {1}));
  Grant hello;
  hello.token = 2;
  hello.sequence = 1;
  EXPECT_TRUE(holder.Accept(hello).accepted);
  EXPECT_FALSE(holder.Holds(1));
  EXPECT_FALSE(holder.Accept(MakeGrant(clock, 1, 2, {1})).accepted);
}

/// A driver and one server that answers at once.
class DrivenServerSetTest : public testing::Test {
 protected:
  auto Beat(FencingToken token) -> void {
    currantbeam::Beat beat;
    beat.echo = ToMicros(this->clock.Now());
    beat.orders.push_back({this->server, token});
    this->registry.Renew(beat);
  }
  auto Own(std::set<SlotIndex> slots, std::uint64_t cursor) -> void {
    this->registry.SetOwned({{this->server, std::move(slots)}}, 1, cursor);
  }
  auto AnswerGrants() -> void {
    for (int i = 0; i < 3; ++i) {
      for (const auto& attempt : this->registry.DueGrants()) {
        this->registry.Confirm(attempt, this->holder.Accept(attempt.grant));
      }
    }
  }
  auto Aligned() -> std::uint64_t {
    return this->registry.Reports().front().aligned;
  }

  ManualClock clock;
  LeaseTiming timing;
  ServerId server{"b"};
  DrivenServerSet registry{this->timing, this->clock};
  GrantHolder holder{this->clock, kRun};
};

TEST_F(DrivenServerSetTest, DispatchesOnlyWhatTheServerConfirmed) {
  this->Beat(1);
  this->Own({4}, 1);
  EXPECT_FALSE(this->registry.MayDispatch(this->server, 4));
  this->AnswerGrants();
  EXPECT_EQ(this->registry.MayDispatch(this->server, 4), FencingToken{1});
  EXPECT_TRUE(this->holder.Allows(1, 4));
  EXPECT_FALSE(this->registry.MayDispatch(this->server, 5));
}

TEST_F(DrivenServerSetTest, PausedDriverMayNotDispatchWhenItComesBack) {
  this->Beat(1);
  this->Own({4}, 1);
  this->AnswerGrants();
  this->clock.Advance(this->timing.driver_lease);
  EXPECT_FALSE(this->registry.MayDispatch(this->server, 4));
}

TEST_F(DrivenServerSetTest, KeepsASlotUntilNonIdempotentWorkHasEnded) {
  this->Beat(1);
  this->Own({4}, 1);
  this->AnswerGrants();
  this->registry.BeginWork(this->server, 4);
  this->Own({}, 2);
  EXPECT_FALSE(this->registry.MayDispatch(this->server, 4));
  this->AnswerGrants();
  EXPECT_TRUE(this->holder.Holds(4));
  EXPECT_EQ(this->Aligned(), 1U);
  this->registry.EndWork(this->server, 4);
  this->AnswerGrants();
  EXPECT_FALSE(this->holder.Holds(4));
  EXPECT_EQ(this->Aligned(), 2U);
}

TEST_F(DrivenServerSetTest, LapsedServerGetsNothingMoreByTheSameToken) {
  this->Beat(1);
  this->Own({4}, 1);
  this->AnswerGrants();
  const auto silence =
      this->timing.grant_duration + this->timing.grant_renewal_interval;
  for (Duration t{0}; t < 2 * silence; t += std::chrono::milliseconds(10)) {
    this->clock.Advance(std::chrono::milliseconds(10));
    this->Beat(1);
    for (const auto& attempt : this->registry.DueGrants()) {
      this->registry.Fail(attempt);
    }
  }
  EXPECT_TRUE(this->registry.HasLapsed(this->server));
  EXPECT_FALSE(this->holder.Holds(4));
  EXPECT_TRUE(this->registry.DueGrants().empty());
  this->Beat(2);
  this->AnswerGrants();
  EXPECT_TRUE(this->registry.MayDispatch(this->server, 4));
}

TEST(PlacerFollower, FollowsOnePlacerAtATime) {
  ManualClock clock;
  const LeaseTiming timing;
  PlacerFollower allegiance(timing, clock);
  Beat first;
  first.placer = HostId("a");
  first.leading = true;
  first.term = {1, 0};
  EXPECT_FALSE(allegiance.Consider(first)) << "too early after the start";
  clock.Advance(timing.leader_lease + timing.clock_drift_allowance);
  EXPECT_TRUE(allegiance.Consider(first));
  Beat second = first;
  second.placer = HostId("b");
  second.term = {2, 0};
  EXPECT_FALSE(allegiance.Consider(second));
  clock.Advance(timing.leader_lease + timing.clock_drift_allowance);
  EXPECT_TRUE(allegiance.Consider(second));
  EXPECT_FALSE(allegiance.Consider(first)) << "an older term";
}

TEST(PlacementPlanner, MovesNothingThatIsEven) {
  Segment segment;
  for (SlotIndex i = 0; i < 40; ++i) {
    segment.slots[i].owner = ServerId(i % 2 == 0 ? "a" : "b");
  }
  PlacementPlanner planner({{ServerId("a"), 4}, {ServerId("b"), 4}}, {}, {});
  planner.SetOwners(segment);
  EXPECT_TRUE(planner.Rebalance(segment).empty());
}

TEST(PlacementPlanner, GivesAJoiningServerItsShareAndNoMore) {
  Segment segment;
  for (SlotIndex i = 0; i < 60; ++i) {
    segment.slots[i].owner = ServerId(i % 2 == 0 ? "a" : "b");
  }
  PlacementPlanner::Options options;
  options.move_budget = 1000;
  PlacementPlanner planner(
      {{ServerId("a"), 4}, {ServerId("b"), 4}, {ServerId("c"), 4}}, {},
      options);
  planner.SetOwners(segment);
  const auto moves = planner.Rebalance(segment);
  // The least that evens the load out is 20; 1.5 times that is the target.
  EXPECT_GE(moves.size(), 14U);
  EXPECT_LE(moves.size(), 30U);
  for (const auto& move : moves) EXPECT_EQ(move.to, ServerId("c"));
}

TEST(PlacementPlanner, SuccessorIsAnotherServer) {
  PlacementPlanner planner({{ServerId("a"), 4}, {ServerId("b"), 4}}, {}, {});
  for (SlotIndex i = 0; i < 20; ++i) {
    EXPECT_EQ(planner.Successor(i, ServerId("a")), ServerId("b"));
  }
  PlacementPlanner alone({{ServerId("a"), 4}}, {}, {});
  EXPECT_TRUE(alone.Successor(1, ServerId("a")).IsEmpty());
}

}  // namespace
}  // namespace currantbeam
