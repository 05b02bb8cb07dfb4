#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "core/core.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLongGrace = seconds(10);
constexpr milliseconds kShortGrace = seconds(4);
constexpr TimePoint kStart{seconds(100)};

auto MakeSend(milliseconds after, milliseconds time_left) -> PlannedSend {
  PlannedSend send;
  send.at = kStart + after;
  send.deadline = send.at + time_left;
  send.expected_latency = milliseconds(100);
  return send;
}

TEST(StopSchedule, AllowsEverythingIfThereIsNoStop) {
  const StopSchedule schedule;
  EXPECT_TRUE(schedule.Allows(MakeSend(seconds(50), seconds(3600))));
}

TEST(StopSchedule, AllowsLateRequestsThatEndBeforeTheServersDeadline) {
  const StopSchedule schedule(kStart, kLongGrace);
  EXPECT_TRUE(schedule.Allows(MakeSend(seconds(4), milliseconds(4800))));
  EXPECT_FALSE(schedule.Allows(MakeSend(seconds(4), milliseconds(4801))));
}

TEST(StopSchedule, AllowsLongRequestsOnlyAtItsBeginning) {
  const StopSchedule long_schedule(kStart, kLongGrace);
  EXPECT_TRUE(long_schedule.Allows(MakeSend(milliseconds(2800), seconds(30))));
  EXPECT_FALSE(long_schedule.Allows(MakeSend(milliseconds(2801), seconds(30))));
  const StopSchedule short_schedule(kStart, kShortGrace);
  EXPECT_TRUE(short_schedule.Allows(MakeSend(milliseconds(2000), seconds(30))));
  EXPECT_FALSE(
      short_schedule.Allows(MakeSend(milliseconds(2001), seconds(30))));
}

TEST(StopSchedule, RefusesEarlyRequestsOfServersThatAreTooSlow) {
  const StopSchedule schedule(kStart, kShortGrace);
  auto send = MakeSend(seconds(1), seconds(30));
  send.expected_latency = milliseconds(2520);
  EXPECT_TRUE(schedule.Allows(send));
  send.expected_latency = milliseconds(2521);
  EXPECT_FALSE(schedule.Allows(send));
}

TEST(StopSchedule, AllowsRetriesOfRequestsThatCannotBeRefused) {
  const StopSchedule schedule(kStart, kLongGrace);
  auto send = MakeSend(seconds(5), seconds(30));
  send.may_have_run = true;
  EXPECT_TRUE(schedule.Allows(send));
  send.expected_latency = milliseconds(3801);
  EXPECT_FALSE(schedule.Allows(send));
}

RC_GTEST_PROP(StopSchedule, CutsNoRequestThatIsFirstSentAfterThreeSeconds, ()) {
  const auto grace = milliseconds(*rc::gen::inRange(100, 120000));
  const StopSchedule schedule(kStart, grace);
  auto send = MakeSend(milliseconds(*rc::gen::inRange(0, 120000)),
                       milliseconds(*rc::gen::inRange(0, 120000)));
  send.expected_latency = milliseconds(*rc::gen::inRange(0, 10000));
  const bool may_be_cut =
      schedule.Allows(send) && send.deadline > schedule.servers_until;
  RC_ASSERT(!may_be_cut || send.at < kStart + seconds(3));
}

}  // namespace
}  // namespace currantbeam
