#include <gtest/gtest.h>

#include "keys/keys.h"
#include "keys/test_servers.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

/// A service whose stripes are granted to two servers.
class ReplacedOwnerTest : public testing::Test {
 protected:
  static constexpr int kStripes = 16;

  ReplacedOwnerTest() : servers(MakeServers(2)) {
    this->scheduler.Load(OwnerMap(kStripes), StoreVersion());
    this->scheduler.SetServers(this->servers, {});
    this->CommitChange();
    for (const auto& command : this->scheduler.TakeDueCommands()) {
      EXPECT_TRUE(
          ReplyToGrant(this->scheduler, command, GrantReply::kAccepted));
    }
  }

  auto CommitChange() -> void {
    ASSERT_TRUE(this->scheduler.PlanChange());
    ++this->version.number;
    this->scheduler.OnCommitted(this->version);
  }
  /// @return how many stripes the planned map gives to the server.
  [[nodiscard]] auto PlannedStripesOf(const KeyOwner& owner) const -> int {
    int count = 0;
    for (int i = 0; i < kStripes; ++i) {
      const auto* planned = this->scheduler.PlannedMap().OwnerOf(i);
      count += planned != nullptr && *planned == owner ? 1 : 0;
    }
    return count;
  }

  ManualClock clock;
  GrantScheduler scheduler{this->clock, GrantTiming()};
  std::vector<EligibleServer> servers;
  StoreVersion version;
};

TEST_F(ReplacedOwnerTest, GrantsHoldWhileTheOwnerIsUnreachable) {
  const auto owner = this->servers.front().owner;
  this->scheduler.OnOwnerUnreachable(owner);
  this->scheduler.SetServers({this->servers.back()}, {});
  this->scheduler.TakeDueCommands();
  EXPECT_FALSE(this->scheduler.PlanChange());
}

TEST_F(ReplacedOwnerTest, GrantsEndOnceAnotherServerRespondsAtTheAddress) {
  const auto other = this->servers.back();
  this->scheduler.OnOwnerReplaced(this->servers.front().owner);
  this->scheduler.SetServers({other}, {});
  this->scheduler.TakeDueCommands();
  ASSERT_TRUE(this->scheduler.PlanChange());
  EXPECT_EQ(this->PlannedStripesOf(other.owner), kStripes);
}

TEST_F(ReplacedOwnerTest, GrantsHoldThatALaterProcessOfTheServerMayHave) {
  const auto owner = this->servers.front().owner;
  auto former = owner;
  former.started -= milliseconds(1);
  this->scheduler.OnOwnerUnreachable(owner);
  this->scheduler.OnOwnerReplaced(former);
  this->scheduler.SetServers({this->servers.back()}, {});
  this->scheduler.TakeDueCommands();
  EXPECT_FALSE(this->scheduler.PlanChange());
  EXPECT_EQ(this->PlannedStripesOf(owner), kStripes / 2);
}

// The keys would have stayed unserved until the coordinator changed.
TEST_F(ReplacedOwnerTest, AHandoverThatAServerCannotReadIsSentOnce) {
  this->clock.Advance(std::chrono::seconds(1));
  this->scheduler.SetServers({this->servers.front()}, {});
  for (const auto& command : this->scheduler.TakeDueCommands()) {
    if (command.kind != KeyCommand::Kind::kRelease) continue;
    ReleaseReply reply;
    reply.is_released = true;
    reply.handover = "spoiled";
    this->scheduler.OnReleaseReply(command, reply);
  }
  this->CommitChange();
  int sent = 0;
  for (int round = 0; round < 3; ++round) {
    this->clock.Advance(milliseconds(400));
    for (const auto& command : this->scheduler.TakeDueCommands()) {
      sent += command.handover.empty() ? 0 : 1;
      EXPECT_TRUE(
          ReplyToGrant(this->scheduler, command, GrantReply::kMalformed));
    }
  }
  EXPECT_EQ(sent, kStripes / 2);
}

}  // namespace
}  // namespace currantbeam
