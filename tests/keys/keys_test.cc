#include "keys/keys.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "keys/test_servers.h"
#include "store/store.h"

namespace currantbeam {
namespace {

auto DealAll(OwnerMap& map, const std::vector<EligibleServer>& servers)
    -> void {
  const std::vector<bool> unassigned(map.StripeCount(), true);
  const auto token = map.NextToken();
  for (const auto& move :
       StripePlanner::AssignStripes({map, unassigned, servers, {}})) {
    map.Assign(move.stripe, move.to, token);
  }
}

auto CountStripes(const OwnerMap& map) -> std::map<std::string, int> {
  std::map<std::string, int> counts;
  for (int i = 0; i < map.StripeCount(); ++i) {
    ++counts[map.OwnerOf(i)->id.Value()];
  }
  return counts;
}

TEST(OwnerMap, ComesBackFromItsStoredForm) {
  EXPECT_TRUE(rc::check("decode(encode(map)) is the map", [] {
    OwnerMap map(64);
    const auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 64), rc::gen::inRange(0, 9)));
    for (const auto& [stripe, server] : moves) {
      map.Assign(stripe, MakeOwner(server), map.NextToken());
    }
    const auto back = OwnerMap::Decode(map.Encode());
    RC_ASSERT(back.LastToken() == map.LastToken());
    for (int i = 0; i < map.StripeCount(); ++i) {
      RC_ASSERT(back.TokenOf(i) == map.TokenOf(i));
      RC_ASSERT((back.OwnerOf(i) == nullptr) == (map.OwnerOf(i) == nullptr));
      if (map.OwnerOf(i) == nullptr) continue;
      RC_ASSERT(*back.OwnerOf(i) == *map.OwnerOf(i));
    }
  }));
}

TEST(OwnerMap, RefusesWhatIsNoMap) {
  EXPECT_THROW(OwnerMap::Decode(""), InputError);
  EXPECT_THROW(OwnerMap::Decode("not cbor at all"), InputError);
  OwnerMap map(4);
  map.Assign(2, MakeOwner(1), 1);
  const auto text = map.Encode();
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(OwnerMap::Decode(text.substr(0, length)), InputError);
  }
}

TEST(OwnerMap, FindsOwnersByKey) {
  OwnerMap map(4);
  map.Assign(1, MakeOwner(7), 1);
  EXPECT_EQ(map.KeysOf(1).first, 16384);
  EXPECT_EQ(map.KeysOf(1).last, 32767);
  EXPECT_EQ(map.OwnerOfKey(16384)->id, ServerId("s7"));
  EXPECT_EQ(map.OwnerOfKey(32767)->id, ServerId("s7"));
  EXPECT_EQ(map.OwnerOfKey(32768), nullptr);
}

TEST(StripePlanner, SharesNeighbouringKeysAmongManyServers) {
  for (const int count : {3, 9, 16, 40}) {
    OwnerMap map;
    DealAll(map, MakeServers(count));
    const int stripes = 200 * map.StripeCount() / kKeyCount;
    for (int first = 0; first + stripes <= map.StripeCount(); ++first) {
      std::set<std::string> owners;
      for (int i = first; i < first + stripes; ++i) {
        owners.insert(map.OwnerOf(i)->id.Value());
      }
      EXPECT_GE(static_cast<int>(owners.size()), std::min(count, stripes) - 1);
    }
  }
}

TEST(StripePlanner, DealsByWeight) {
  auto servers = MakeServers(4);
  servers[0].weight = 12;
  OwnerMap map;
  DealAll(map, servers);
  const auto counts = CountStripes(map);
  EXPECT_NEAR(counts.at("s0"), map.StripeCount() / 2.0, 8);
  EXPECT_NEAR(counts.at("s1"), map.StripeCount() / 6.0, 8);
}

TEST(StripePlanner, MovesToAServerThatJoinsOnlyItsPart) {
  OwnerMap map;
  DealAll(map, MakeServers(9));
  const std::vector<bool> unassigned(map.StripeCount(), false);
  const auto ten = MakeServers(10);
  const auto nine = MakeServers(9);
  const auto leaving = StripePlanner::StripesToMove({map, unassigned, ten, {}},
                                                    map.StripeCount());
  EXPECT_NEAR(static_cast<double>(leaving.size()), map.StripeCount() / 10.0,
              map.StripeCount() / 50.0);
  EXPECT_TRUE(StripePlanner::StripesToMove({map, unassigned, nine, {}},
                                           map.StripeCount())
                  .empty());
}

TEST(StripePlanner, MovesNothingElseWhenAServerLeaves) {
  OwnerMap map;
  DealAll(map, MakeServers(9));
  const auto rest = MakeServers(8);
  std::vector<bool> unassigned(map.StripeCount());
  int lost = 0;
  for (int i = 0; i < map.StripeCount(); ++i) {
    unassigned[i] = map.OwnerOf(i)->id == ServerId("s8");
    lost += unassigned[i] ? 1 : 0;
  }
  const auto moves = StripePlanner::AssignStripes({map, unassigned, rest, {}});
  EXPECT_EQ(static_cast<int>(moves.size()), lost);
  for (const auto& move : moves) EXPECT_TRUE(unassigned[move.stripe]);
}

TEST(StripePlanner, GivesABusyStripeAServerOfItsOwnThatIsFast) {
  auto servers = MakeServers(6);
  servers[5].weight = 12;
  OwnerMap map;
  DealAll(map, servers);
  const std::vector<bool> unassigned(map.StripeCount(), false);
  int busy = 0;
  while (map.OwnerOf(busy)->id == ServerId("s5")) ++busy;
  // A third of all load lies on one stripe.
  std::vector<double> loads(map.StripeCount(), 1);
  loads[busy] = map.StripeCount() / 2.0;
  const PlacementState state = {map, unassigned, servers, loads};
  const auto leaving = StripePlanner::StripesToMove(state, map.StripeCount());
  EXPECT_EQ(std::count(leaving.begin(), leaving.end(), busy), 1);
  int from_fast = 0;
  for (const int stripe : leaving) {
    from_fast += map.OwnerOf(stripe)->id == ServerId("s5") ? 1 : 0;
  }
  EXPECT_GT(from_fast, map.StripeCount() / 10);
}

/// Servers that reset each second connection after they took a grant, as they
/// do for seconds when their answers get lost.
TEST(GrantScheduler, RaisesTokensSeldomWhileAnswersGetLost) {
  ManualClock clock;
  GrantScheduler keeper(clock, GrantTiming());
  const auto servers = MakeServers(8);
  keeper.Load(OwnerMap(256), 0);
  StoreVersion version = 0;
  int commits = 0;
  int calls = 0;
  std::map<int, TimePoint> granted_at;
  const auto play = [&](std::chrono::seconds length, bool loses_answers) {
    const auto until = clock.Now() + length;
    while (clock.Now() < until) {
      clock.Advance(std::chrono::milliseconds(50));
      keeper.SetServers(servers, {});
      for (const auto& command : keeper.TakeDueCommands()) {
        ASSERT_EQ(command.kind, KeyCommand::Kind::kGrant);
        granted_at[command.stripe] = clock.Now();
        if (loses_answers && ++calls % 2 == 0) {
          keeper.OnOwnerUnreachable(command.owner);
          keeper.OnNotSent(command);
        } else {
          keeper.OnGrantReply(command, GrantReply::kAccepted);
        }
      }
      if (!keeper.PlanChange()) continue;
      ++commits;
      keeper.OnCommitted(++version);
    }
  };
  play(std::chrono::seconds(10), false);
  commits = 0;
  play(std::chrono::seconds(6), true);
  EXPECT_LE(commits, 3);
  // No key goes ungranted for as long as a hold lasts.
  for (const auto& [stripe, at] : granted_at) {
    EXPECT_LT(clock.Now() - at, std::chrono::milliseconds(7500)) << stripe;
  }
  commits = 0;
  play(std::chrono::seconds(10), false);
  EXPECT_LE(commits, 1);
  EXPECT_EQ(granted_at.size(), 256U);
}

/// The store goes away: the lease is not renewed any more, and runs out.
TEST(GrantScheduler, LeavesKeysHeldForLongWhenItsLeaseRunsOut) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr int kStripes = 256;
  ManualClock clock;
  GrantScheduler keeper(clock, GrantTiming());
  const auto servers = MakeServers(8);
  keeper.Load(OwnerMap(kStripes), 0);
  std::map<int, TimePoint> held_until;
  StoreVersion version = 0;
  const auto play = [&](Duration length, Duration lease_left, bool is_renewed) {
    const auto began = clock.Now();
    while (clock.Now() < began + length) {
      clock.Advance(milliseconds(50));
      const auto passed = is_renewed ? Duration(0) : clock.Now() - began;
      keeper.SetServers(servers, {});
      keeper.SetRemainingLease(lease_left - passed);
      for (const auto& command : keeper.TakeDueCommands()) {
        if (command.kind != KeyCommand::Kind::kGrant) continue;
        held_until[command.stripe] = clock.Now() + command.ttl;
        keeper.OnGrantReply(command, GrantReply::kAccepted);
      }
      if (is_renewed && keeper.PlanChange()) keeper.OnCommitted(++version);
    }
  };
  play(seconds(20), seconds(3), true);
  play(seconds(3), seconds(3), false);
  ASSERT_EQ(held_until.size(), static_cast<std::size_t>(kStripes));
  // The store may be away for 12 s from when the lease was last renewed.
  const auto bridged = clock.Now() + seconds(8);
  for (const auto& [stripe, until] : held_until) EXPECT_GE(until, bridged);
}

/// A server leaves while the store is away: its keys cannot be given to
/// others, and all others' keys stay granted for as long as the lease lasts.
TEST(ServiceCoordinator, GoesOnGrantingWhenAChangeGetsNoAnswer) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr int kStripes = 64;
  ManualClock clock;
  MemoryStore store(clock);
  CoordinatorLease lease(store, clock, {"a", "1:1"});
  ServiceCoordinator service(ServiceName("s"), store, clock, lease,
                             GrantTiming(), kStripes);
  auto servers = MakeServers(8);
  TimePoint lease_due{};
  std::map<int, TimePoint> granted_at;
  const auto play = [&](Duration length) {
    const auto until = clock.Now() + length;
    while (clock.Now() < until) {
      clock.Advance(milliseconds(50));
      if (clock.Now() >= lease_due) lease_due = clock.Now() + lease.Step();
      service.LoadIfNeeded();
      if (!lease.IsHeld()) continue;
      for (const auto& command : service.TakeDueCommands(servers)) {
        if (command.kind == KeyCommand::Kind::kGrant) {
          granted_at[command.stripe] = clock.Now();
          service.Scheduler().OnGrantReply(command, GrantReply::kAccepted);
        } else {
          service.Scheduler().OnReleaseReply(command, {true, false, "x"});
        }
      }
      service.CommitChanges();
    }
  };
  play(seconds(10));
  ASSERT_EQ(granted_at.size(), static_cast<std::size_t>(kStripes));
  store.SetDown(true);
  const auto down_at = clock.Now();
  int kept = 0;
  for (int i = 0; i < kStripes; ++i) {
    const auto* owner = service.Scheduler().Map().OwnerOf(i);
    kept += owner->id == servers.back().owner.id ? 0 : 1;
  }
  servers.pop_back();
  play(seconds(5));
  const auto renewed = std::count_if(
      granted_at.begin(), granted_at.end(),
      [&](const auto& grant) { return grant.second > down_at + seconds(1); });
  EXPECT_EQ(renewed, kept);
}

class CoordinatorLeaseTest : public testing::Test {
 protected:
  ManualClock clock;
  MemoryStore store{this->clock};
  CoordinatorLease a{this->store, this->clock, {"a", "1:1"}};
  CoordinatorLease b{this->store, this->clock, {"b", "2:2"}};
};

TEST_F(CoordinatorLeaseTest, OneHolderUntilItResigns) {
  this->a.Step();
  EXPECT_TRUE(this->a.IsHeld());
  this->b.Step();
  EXPECT_FALSE(this->b.IsHeld());
  this->a.Resign();
  EXPECT_FALSE(this->a.IsHeld());
  this->b.Step();
  EXPECT_TRUE(this->b.IsHeld());
}

TEST_F(CoordinatorLeaseTest, PassesToAnotherWhenItRunsOut) {
  this->a.Step();
  const auto wait = this->b.Step();
  EXPECT_LE(wait, std::chrono::milliseconds(4300));
  this->clock.Advance(wait);
  EXPECT_FALSE(this->a.IsHeld());
  this->b.Step();
  EXPECT_TRUE(this->b.IsHeld());
}

TEST_F(CoordinatorLeaseTest, IsLeftToOthersByAHostThatYields) {
  const auto yield_delay = std::chrono::milliseconds(500);
  CoordinatorLease::Options options{"weak", "3:3"};
  options.yield_delay = yield_delay;
  CoordinatorLease weak(this->store, this->clock, options);
  EXPECT_EQ(weak.Step(), yield_delay);
  this->clock.Advance(std::chrono::milliseconds(100));
  this->a.Step();
  this->clock.Advance(yield_delay);
  const auto wait = weak.Step();
  EXPECT_TRUE(this->a.IsHeld());
  EXPECT_FALSE(weak.IsHeld());
  // Alone, it takes the lease in the end.
  this->clock.Advance(wait);
  this->clock.Advance(weak.Step());
  EXPECT_FALSE(this->a.IsHeld());
  weak.Step();
  EXPECT_TRUE(weak.IsHeld());
}

TEST_F(CoordinatorLeaseTest, EndsWhileTheStoreIsDown) {
  this->a.Step();
  this->store.SetDown(true);
  for (int i = 0; i < 40; ++i) {
    this->clock.Advance(std::chrono::milliseconds(100));
    this->a.Step();
  }
  EXPECT_FALSE(this->a.IsHeld());
  this->store.SetDown(false);
  this->a.Step();
  EXPECT_TRUE(this->a.IsHeld());
  EXPECT_EQ(this->a.Term(), 2);
}

TEST_F(CoordinatorLeaseTest, AsksSeldomWhileTheStoreIsAway) {
  this->a.Step();
  this->store.SetDown(true);
  const auto until = this->clock.Now() + std::chrono::seconds(10);
  int calls = 0;
  while (this->clock.Now() < until) {
    ++calls;
    this->clock.Advance(this->b.Step());
  }
  EXPECT_LE(calls, 10);
  this->store.SetDown(false);
  this->clock.Advance(this->b.Step());
  EXPECT_TRUE(this->b.IsHeld());
}

TEST_F(CoordinatorLeaseTest, GoesOnAfterAnAnswerWasLost) {
  this->a.Step();
  this->store.DropResponses(1);
  this->clock.Advance(std::chrono::milliseconds(1300));
  for (int i = 0; i < 4; ++i) this->clock.Advance(this->a.Step());
  EXPECT_TRUE(this->a.IsHeld());
  EXPECT_EQ(this->a.Term(), 1);
}

}  // namespace
}  // namespace currantbeam
