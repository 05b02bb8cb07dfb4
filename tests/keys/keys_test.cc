#include "keys/keys.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "core/cbor.h"
#include "keys/test_servers.h"
#include "store/store.h"

namespace currantbeam {
namespace {

auto AssignAll(OwnerMap& map, const std::vector<EligibleServer>& servers)
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

TEST(OwnerMap, RoundTripsThroughEncoding) {
  EXPECT_TRUE(rc::check("decoding an encoded map gives the map", [] {
    OwnerMap map(64);
    const auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 64), rc::gen::inRange(0, 9)));
    for (const auto& [stripe, server] : moves) {
      map.Assign(stripe, MakeOwner(server), map.NextToken());
    }
    const auto decoded = OwnerMap::Decode(map.Encode());
    RC_ASSERT(decoded.LastToken() == map.LastToken());
    for (int i = 0; i < map.StripeCount(); ++i) {
      RC_ASSERT(decoded.TokenOf(i) == map.TokenOf(i));
      RC_ASSERT((decoded.OwnerOf(i) == nullptr) == (map.OwnerOf(i) == nullptr));
      if (map.OwnerOf(i) == nullptr) continue;
      RC_ASSERT(*decoded.OwnerOf(i) == *map.OwnerOf(i));
    }
  }));
}

TEST(OwnerMap, RejectsInvalidEncodings) {
  EXPECT_THROW(OwnerMap::Decode(""), InputError);
  EXPECT_THROW(OwnerMap::Decode("not cbor at all"), InputError);
  OwnerMap map(4);
  map.Assign(2, MakeOwner(1), 1);
  const auto text = map.Encode();
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(OwnerMap::Decode(text.substr(0, length)), InputError);
  }
}

/// @return an encoded map of four stripes whose first one has an owner, after a
///   change of its JSON value.
auto EncodeWith(const std::string& pointer, const nlohmann::json& value)
    -> std::string {
  OwnerMap map(4);
  map.Assign(0, MakeOwner(1), map.NextToken());
  auto json = nlohmann::json::from_cbor(map.Encode());
  json.at(nlohmann::json::json_pointer(pointer)) = value;
  return ToCbor(json);
}

// A row that another writer changed must not end the process, or bring back
// used tokens.
TEST(OwnerMap, RejectsValuesOutOfRange) {
  EXPECT_NO_THROW(OwnerMap::Decode(EncodeWith("/last", 1)));
  const std::vector<std::pair<std::string, nlohmann::json>> changes = {
      {"/owners/0/0", ""},
      {"/owners/0/0", "a\r\nb"},
      {"/owners/0/0", std::string(1000, 'a')},
      {"/owners/0/1", 1.5},
      {"/owners/0/2", ""},
      {"/owners/0/2", "host.example"},
      {"/owners/0/2", "10.0.0.1:80"},
      {"/owners/0/3", 0},
      {"/owners/0/3", 65536 + 80},
      {"/owners/0/3", -1},
      {"/owners/0/3", 80.5},
      {"/owners", nlohmann::json::array()},
      {"/stripes", nlohmann::json::array({0, -1, -1})},
      {"/stripes/0", -2},
      {"/stripes/0", 1},
      {"/stripes/0", 1LL << 32},
      {"/stripes/0", 0.5},
      {"/stripes/0", true},
      {"/fences", nlohmann::json::array({1})},
      {"/fences/0", -1},
      {"/fences/0", 1.5},
      {"/fences/0", 2},
      {"/last", 0},
      {"/last", -1},
      {"/last", 1ULL << 63},
      {"/epoch", -1},
      {"/epoch", 1ULL << 40},
  };
  for (const auto& [pointer, value] : changes) {
    EXPECT_THROW(OwnerMap::Decode(EncodeWith(pointer, value)), InputError)
        << pointer << " " << value;
  }
}

TEST(OwnerUpdate, RejectsValuesOutOfRange) {
  OwnerUpdate update;
  update.service = ServiceName("s");
  update.changes.push_back({0, MakeOwner(1), 1});
  const auto encoded = nlohmann::json::from_cbor(update.Encode());
  const std::vector<std::pair<std::string, nlohmann::json>> changes = {
      {"/o/0/2", "host.example"},
      {"/o/0/3", 65536 + 80},
      {"/c/0/0", -1},
      {"/c/0/0", 1LL << 32},
      {"/c/0/1", 1},
      {"/c/0/1", -1},
      {"/c/0/2", -1},
  };
  for (const auto& [pointer, value] : changes) {
    auto json = encoded;
    json.at(nlohmann::json::json_pointer(pointer)) = value;
    EXPECT_THROW(OwnerUpdate::Decode(ToCbor(json)), InputError)
        << pointer << " " << value;
  }
}

TEST(OwnerMap, FindsOwnerByKey) {
  OwnerMap map(4);
  map.Assign(1, MakeOwner(7), 1);
  EXPECT_EQ(map.KeysOf(1).first, 16384);
  EXPECT_EQ(map.KeysOf(1).last, 32767);
  EXPECT_EQ(map.OwnerOfKey(16384)->id, ServerId("s7"));
  EXPECT_EQ(map.OwnerOfKey(32767)->id, ServerId("s7"));
  EXPECT_EQ(map.OwnerOfKey(32768), nullptr);
}

TEST(StripePlanner, SpreadsAdjacentKeysOverServers) {
  for (const int count : {3, 9, 16, 40}) {
    OwnerMap map;
    AssignAll(map, MakeServers(count));
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

TEST(StripePlanner, AssignsByWeight) {
  auto servers = MakeServers(4);
  servers[0].weight = 12;
  OwnerMap map;
  AssignAll(map, servers);
  const auto counts = CountStripes(map);
  EXPECT_NEAR(counts.at("s0"), map.StripeCount() / 2.0, 8);
  EXPECT_NEAR(counts.at("s1"), map.StripeCount() / 6.0, 8);
}

TEST(StripePlanner, MovesOnlyItsShareToAJoiningServer) {
  OwnerMap map;
  AssignAll(map, MakeServers(9));
  const std::vector<bool> unassigned(map.StripeCount(), false);
  const auto joined = MakeServers(10);
  const auto unchanged = MakeServers(9);
  const auto moving = StripePlanner::StripesToMove(
      {map, unassigned, joined, {}}, map.StripeCount());
  EXPECT_NEAR(static_cast<double>(moving.size()), map.StripeCount() / 10.0,
              map.StripeCount() / 50.0);
  EXPECT_TRUE(StripePlanner::StripesToMove({map, unassigned, unchanged, {}},
                                           map.StripeCount())
                  .empty());
}

TEST(StripePlanner, MovesOnlyTheStripesOfALeavingServer) {
  OwnerMap map;
  AssignAll(map, MakeServers(9));
  const auto remaining = MakeServers(8);
  std::vector<bool> unassigned(map.StripeCount());
  int leaving_count = 0;
  for (int i = 0; i < map.StripeCount(); ++i) {
    unassigned[i] = map.OwnerOf(i)->id == ServerId("s8");
    leaving_count += unassigned[i] ? 1 : 0;
  }
  const auto moves =
      StripePlanner::AssignStripes({map, unassigned, remaining, {}});
  EXPECT_EQ(static_cast<int>(moves.size()), leaving_count);
  for (const auto& move : moves) EXPECT_TRUE(unassigned[move.stripe]);
}

TEST(StripePlanner, MovesAHotStripeToAFastServerAndOthersOff) {
  auto servers = MakeServers(6);
  servers[5].weight = 12;
  OwnerMap map;
  AssignAll(map, servers);
  const std::vector<bool> unassigned(map.StripeCount(), false);
  int hot = 0;
  while (map.OwnerOf(hot)->id == ServerId("s5")) ++hot;
  // One stripe has a third of the total load.
  std::vector<double> loads(map.StripeCount(), 1);
  loads[hot] = map.StripeCount() / 2.0;
  const PlacementState state = {map, unassigned, servers, loads};
  const auto moving = StripePlanner::StripesToMove(state, map.StripeCount());
  EXPECT_EQ(std::count(moving.begin(), moving.end(), hot), 1);
  int moving_off_fast = 0;
  for (const int stripe : moving) {
    moving_off_fast += map.OwnerOf(stripe)->id == ServerId("s5") ? 1 : 0;
  }
  EXPECT_GT(moving_off_fast, map.StripeCount() / 10);
}

/// Every second connection is reset after the server accepted the grant, as
/// happens for some seconds when responses are lost. Each such failure makes a
/// token stale, but commits that only raise tokens have to stay rare.
TEST(GrantScheduler, RaisesTokensRarelyWhileResponsesAreLost) {
  ManualClock clock;
  GrantScheduler scheduler(clock, GrantTiming());
  const auto servers = MakeServers(8);
  scheduler.Load(OwnerMap(256), StoreVersion());
  StoreVersion version;
  int commits = 0;
  int calls = 0;
  std::map<int, TimePoint> granted_at;
  const auto run_for = [&](std::chrono::seconds length, bool loses_responses) {
    const auto until = clock.Now() + length;
    while (clock.Now() < until) {
      clock.Advance(std::chrono::milliseconds(50));
      scheduler.SetServers(servers, {});
      for (const auto& command : scheduler.TakeDueCommands()) {
        ASSERT_EQ(command.kind, KeyCommand::Kind::kGrant);
        granted_at[command.stripe] = clock.Now();
        if (loses_responses && ++calls % 2 == 0) {
          scheduler.OnOwnerUnreachable(command.owner);
          scheduler.OnNotSent(command);
        } else {
          EXPECT_TRUE(ReplyToGrant(scheduler, command, GrantReply::kAccepted));
        }
      }
      if (!scheduler.PlanChange()) continue;
      ++commits;
      ++version.number;
      scheduler.OnCommitted(version);
    }
  };
  run_for(std::chrono::seconds(10), false);
  commits = 0;
  run_for(std::chrono::seconds(6), true);
  EXPECT_LE(commits, 3);
  // Every key is granted again before its last grant expires.
  for (const auto& [stripe, at] : granted_at) {
    EXPECT_LT(clock.Now() - at, std::chrono::milliseconds(7500)) << stripe;
  }
  commits = 0;
  run_for(std::chrono::seconds(10), false);
  EXPECT_LE(commits, 1);
  EXPECT_EQ(granted_at.size(), 256U);
}

TEST(GrantScheduler, CommitsAgainAfterARollbackThoughAReleaseIsUnanswered) {
  ManualClock clock;
  GrantScheduler scheduler(clock, GrantTiming());
  auto servers = MakeServers(2);
  scheduler.Load(OwnerMap(16), StoreVersion());
  scheduler.SetServers(servers, {});
  scheduler.TakeDueCommands();
  ASSERT_TRUE(scheduler.PlanChange());
  scheduler.OnCommitted({0, 1});
  for (const auto& command : scheduler.TakeDueCommands()) {
    EXPECT_TRUE(ReplyToGrant(scheduler, command, GrantReply::kAccepted));
  }
  servers.pop_back();
  scheduler.SetServers(servers, {});
  ASSERT_FALSE(scheduler.TakeDueCommands().empty());
  ASSERT_FALSE(scheduler.PlanChange());
  scheduler.ContinueAfterRollback({1, 1});
  EXPECT_TRUE(scheduler.PlanChange());
}

TEST(GrantScheduler, WaitsForUnknownGrantsAfterATakeoverBesideARollback) {
  ManualClock clock;
  GrantScheduler scheduler(clock, GrantTiming());
  OwnerMap map(16);
  const auto servers = MakeServers(2);
  for (int i = 0; i < 16; ++i) map.Assign(i, servers[0].owner, 1);
  scheduler.LoadRolledBack(map, {1, 1});
  scheduler.SetServers(servers, {});
  const auto max_hold = GrantTiming().max_ttl * 1.02;
  for (Duration waited{0}; waited < max_hold;
       waited += std::chrono::seconds(1)) {
    EXPECT_TRUE(scheduler.TakeDueCommands().empty());
    EXPECT_FALSE(scheduler.PlanChange());
    clock.Advance(std::chrono::seconds(1));
  }
  EXPECT_TRUE(scheduler.PlanChange());
  EXPECT_GT(scheduler.PlannedMap().TokenOf(0), FencingToken(1) << 32);
}

/// The store becomes unreachable, so the lease is no longer renewed and
/// expires. The keys have to stay granted beyond the end of the lease.
TEST(GrantScheduler, GrantsTheMaxTtlBeforeTheLeaseExpires) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr int kStripes = 256;
  ManualClock clock;
  GrantScheduler scheduler(clock, GrantTiming());
  const auto servers = MakeServers(8);
  scheduler.Load(OwnerMap(kStripes), StoreVersion());
  std::map<int, TimePoint> held_until;
  StoreVersion version;
  const auto run_for = [&](Duration length, Duration remaining_lease,
                           bool can_renew) {
    const auto started_at = clock.Now();
    while (clock.Now() < started_at + length) {
      clock.Advance(milliseconds(50));
      const auto elapsed = can_renew ? Duration(0) : clock.Now() - started_at;
      scheduler.SetServers(servers, {});
      scheduler.SetRemainingLease(remaining_lease - elapsed);
      for (const auto& command : scheduler.TakeDueCommands()) {
        if (command.kind != KeyCommand::Kind::kGrant) continue;
        held_until[command.stripe] = clock.Now() + command.ttl;
        EXPECT_TRUE(ReplyToGrant(scheduler, command, GrantReply::kAccepted));
      }
      if (!can_renew || !scheduler.PlanChange()) continue;
      ++version.number;
      scheduler.OnCommitted(version);
    }
  };
  run_for(seconds(20), seconds(3), true);
  run_for(seconds(3), seconds(3), false);
  ASSERT_EQ(held_until.size(), static_cast<std::size_t>(kStripes));
  // The store may be unreachable for 12 s after the last renewal of the lease.
  const auto min_expiry = clock.Now() + seconds(8);
  for (const auto& [stripe, until] : held_until) EXPECT_GE(until, min_expiry);
}

/// A server leaves while the store is unreachable. Its keys can't be assigned
/// to other servers, but the keys of all other servers have to stay granted
/// while the lease is held.
TEST(ServiceCoordinator, KeepsGrantingWhileACommitHasNoResponse) {
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
  const auto run_for = [&](Duration length) {
    const auto until = clock.Now() + length;
    while (clock.Now() < until) {
      clock.Advance(milliseconds(50));
      if (clock.Now() >= lease_due) lease_due = clock.Now() + lease.Step();
      service.LoadIfNeeded();
      if (!lease.IsHeld()) continue;
      for (const auto& command : service.TakeDueCommands(servers)) {
        if (command.kind == KeyCommand::Kind::kGrant) {
          granted_at[command.stripe] = clock.Now();
          EXPECT_TRUE(ReplyToGrant(service.Scheduler(), command,
                                   GrantReply::kAccepted));
        } else {
          service.Scheduler().OnReleaseReply(command, {true, false, "x"});
        }
      }
      service.CommitChanges();
    }
  };
  run_for(seconds(10));
  ASSERT_EQ(granted_at.size(), static_cast<std::size_t>(kStripes));
  store.SetDown(true);
  const auto down_since = clock.Now();
  int expected_renewals = 0;
  for (int i = 0; i < kStripes; ++i) {
    const auto* owner = service.Scheduler().Map().OwnerOf(i);
    expected_renewals += owner->id == servers.back().owner.id ? 0 : 1;
  }
  servers.pop_back();
  run_for(seconds(5));
  const auto renewed = std::count_if(
      granted_at.begin(), granted_at.end(), [&](const auto& grant) {
        return grant.second > down_since + seconds(1);
      });
  EXPECT_EQ(renewed, expected_renewals);
}

class CoordinatorLeaseTest : public testing::Test {
 protected:
  ManualClock clock;
  MemoryStore store{this->clock};
  CoordinatorLease a{this->store, this->clock, {"a", "1:1"}};
  CoordinatorLease b{this->store, this->clock, {"b", "2:2"}};
};

TEST_F(CoordinatorLeaseTest, HasOneHolderUntilItResigns) {
  this->a.Step();
  EXPECT_TRUE(this->a.IsHeld());
  this->b.Step();
  EXPECT_FALSE(this->b.IsHeld());
  this->a.Resign();
  EXPECT_FALSE(this->a.IsHeld());
  this->b.Step();
  EXPECT_TRUE(this->b.IsHeld());
}

TEST_F(CoordinatorLeaseTest, PassesToAnotherHostWhenItExpires) {
  this->a.Step();
  const auto delay = this->b.Step();
  EXPECT_LE(delay, std::chrono::milliseconds(4300));
  this->clock.Advance(delay);
  EXPECT_FALSE(this->a.IsHeld());
  this->b.Step();
  EXPECT_TRUE(this->b.IsHeld());
}

TEST_F(CoordinatorLeaseTest, IsLeftToOthersForTheYieldDelay) {
  const auto yield_delay = std::chrono::milliseconds(500);
  CoordinatorLease::Options options{"weak", "3:3"};
  options.yield_delay = yield_delay;
  CoordinatorLease yielding(this->store, this->clock, options);
  EXPECT_EQ(yielding.Step(), yield_delay);
  this->clock.Advance(std::chrono::milliseconds(100));
  this->a.Step();
  this->clock.Advance(yield_delay);
  const auto delay = yielding.Step();
  EXPECT_TRUE(this->a.IsHeld());
  EXPECT_FALSE(yielding.IsHeld());
  // Without another host, it acquires the lease after the delay.
  this->clock.Advance(delay);
  this->clock.Advance(yielding.Step());
  EXPECT_FALSE(this->a.IsHeld());
  yielding.Step();
  EXPECT_TRUE(yielding.IsHeld());
}

TEST_F(CoordinatorLeaseTest, ExpiresWhileTheStoreIsDown) {
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

TEST_F(CoordinatorLeaseTest, BacksOffWhileTheStoreIsUnreachable) {
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

TEST_F(CoordinatorLeaseTest, StaysHeldAfterALostWriteResponse) {
  this->a.Step();
  this->store.DropResponses(1);
  this->clock.Advance(std::chrono::milliseconds(1300));
  for (int i = 0; i < 4; ++i) this->clock.Advance(this->a.Step());
  EXPECT_TRUE(this->a.IsHeld());
  EXPECT_EQ(this->a.Term(), 1);
}

}  // namespace
}  // namespace currantbeam
