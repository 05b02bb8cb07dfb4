#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <functional>
#include <map>

#include "store/recording_store.h"
#include "store/store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const char* const kTable = "t";

/// Advances the test's clock instead of waiting.
class NonBlockingStore : public RelayedStore {
 public:
  NonBlockingStore(StoreClient& store, ManualClock& clock,
                   Duration election_timeout)
      : RelayedStore(store, clock, {kTable}, election_timeout), clock(clock) {}

  /// Called whenever the store would wait.
  std::function<void()> on_wait = [] {};

 protected:
  auto AwaitUpdate(const std::string& /*table*/, Duration max_wait)
      -> void override {
    this->on_wait();
    this->clock.Advance(max_wait);
  }

 private:
  ManualClock& clock;
};

/// Records the rows delivered. `has_regressed` is set if a row is delivered
/// with a lower version than before, or is removed although the store still has
/// the version delivered.
class Recorder : public TableListener {
 public:
  explicit Recorder(const MemoryStore& memory) : memory(memory) {}

  auto OnRow(const StoreRow& row) -> void override {
    auto& last = this->versions[row.name.key];
    this->has_regressed |= row.version < last;
    last = row.version;
    this->rows[row.name.key] = row.value;
  }
  auto OnRemoved(const std::string& key) -> void override {
    const auto stored = this->memory.Find({kTable, "", key});
    this->has_regressed |= stored && stored->version == this->versions[key];
    this->rows.erase(key);
  }
  auto OnSynced() -> void override {}
  auto OnReachable(bool /*reachable*/) -> void override {}

  std::map<std::string, std::string> rows;
  std::map<std::string, StoreVersion> versions;
  bool has_regressed = false;

 private:
  const MemoryStore& memory;
};

/// One host that follows the table.
struct Host {
  Host(MemoryStore& memory, ManualClock& clock,
       Duration election_timeout = Duration(0))
      : recording_store(memory),
        store(recording_store, clock, election_timeout),
        recorder(memory) {}

  auto Step() -> void { this->follower.Step(); }
  /// Exchanges a report for table updates with the leader, as all hosts do
  /// every 500 ms.
  auto SyncFrom(const Host& leader, const Clock& clock) -> void {
    auto updates = leader.store.UpdatesSince(this->store.Versions());
    for (auto& update : updates) update = TableUpdate::Decode(update.Encode());
    this->store.OnUpdates(std::move(updates), clock.Now());
  }

  RecordingStore recording_store;
  NonBlockingStore store;
  Recorder recorder;
  TableFollower follower{store, Options(), recorder};

 private:
  static auto Options() -> FollowOptions {
    FollowOptions options;
    options.table = kTable;
    return options;
  }
};

class RelayedStoreTest : public testing::Test {
 protected:
  RelayedStoreTest() { this->leader.store.SetLeader(true); }

  ManualClock clock;
  MemoryStore memory{this->clock};
  Host leader{this->memory, this->clock};
  Host other{this->memory, this->clock};
};

TEST_F(RelayedStoreTest, RelaysATableWithoutReadsByTheOtherHost) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  this->memory.Put({kTable, "", "b"}, std::string("\0\xff", 2));
  this->memory.Remove({kTable, "", "a"});
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.recording_store.reads, 0);
}

TEST_F(RelayedStoreTest, RecordsHowLateRowsComeBySource) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  this->memory.Put({kTable, "", "a"}, "2");
  this->clock.Advance(milliseconds(300));
  this->leader.Step();
  this->clock.Advance(milliseconds(400));
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  std::string text;
  this->other.store.Delays().AppendTo(text);
  const std::string labels = "{table=\"t\",source=\"relayed\"} ";
  EXPECT_NE(text.find("seconds_count" + labels + "1\n"), std::string::npos);
  EXPECT_NE(text.find("seconds_sum" + labels + "0.7"), std::string::npos);
  EXPECT_EQ(this->other.store.Status(kTable).source, RowSource::kRelayed);
}

TEST_F(RelayedStoreTest, ReadsTheStoreIfTheLeaderStopsSendingUpdates) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  this->memory.Put({kTable, "", "a"}, "2");
  const auto changed_at = this->clock.Now();
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
  EXPECT_EQ(this->other.recording_store.reads, 1);
  // Changes have to be in force within two seconds.
  EXPECT_LT(this->clock.Now() - changed_at, milliseconds(1500));
}

TEST_F(RelayedStoreTest, ReadsTheStoreIfItIsUnreachableForTheLeader) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  const auto partitioned_at = this->clock.Now();
  this->memory.Put({kTable, "", "a"}, "2");
  // The leader answers reports but has no connection to the store.
  for (int i = 0; i < 4 && this->other.recording_store.reads == 0; ++i) {
    this->clock.Advance(milliseconds(500));
    this->other.SyncFrom(this->leader, this->clock);
  }
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
  EXPECT_LE(this->clock.Now() - partitioned_at, milliseconds(2000));
}

TEST_F(RelayedStoreTest, SendsASnapshotToHostsBehindTheOldestTombstone) {
  this->memory.Put({kTable, "", "kept"}, "1");
  this->memory.Put({kTable, "", "dropped"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  const auto known_versions = this->other.store.Versions();
  this->memory.Remove({kTable, "", "dropped"});
  for (int i = 0; i < 1000; ++i) {
    const RowName name = {kTable, "", "passing-" + std::to_string(i)};
    this->memory.Put(name, "1");
    this->memory.Remove(name);
    this->leader.Step();
  }
  const auto updates = this->leader.store.UpdatesSince(known_versions);
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_TRUE(updates[0].is_full);
  EXPECT_EQ(updates[0].rows.size(), 1U);
  // A host that is only slightly behind receives the changes.
  auto recent = this->leader.store.Versions();
  recent.at(kTable).number -= 10;
  EXPECT_FALSE(this->leader.store.UpdatesSince(recent)[0].is_full);
  this->other.SyncFrom(this->leader, this->clock);
  for (int i = 0; i < 3; ++i) this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.recorder.rows.size(), 1U);
}

// Whole tables for all hosts of a large fleet take the leader seconds to send,
// in which it is late itself.
TEST_F(RelayedStoreTest, SendsOnlyTheChangesAfterTheStoreDroppedItsHistory) {
  for (const auto* key : {"a", "b", "c", "d"}) {
    this->memory.Put({kTable, "", key}, "1");
  }
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  this->memory.Put({kTable, "", "b"}, "2");
  this->memory.Remove({kTable, "", "a"});
  this->memory.DropHistory();
  for (int i = 0; i < 2; ++i) this->leader.Step();
  const auto updates =
      this->leader.store.UpdatesSince(this->other.store.Versions());
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_FALSE(updates[0].is_full);
  EXPECT_EQ(updates[0].rows.size(), 2U);
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.recorder.rows.size(), 3U);
}

TEST_F(RelayedStoreTest, NeedsNoWholeTableAfterTheStoreDroppedItsHistory) {
  for (const auto* key : {"a", "b", "c"}) {
    this->memory.Put({kTable, "", key}, "1");
  }
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  const auto version = this->other.store.Versions().at(kTable);
  this->memory.Put({kTable, "", "b"}, "2");
  this->memory.Remove({kTable, "", "a"});
  this->memory.DropHistory();
  this->clock.Advance(std::chrono::seconds(2));
  this->other.Step();
  for (int i = 0; i < 2; ++i) this->leader.Step();
  this->other.recording_store.reads = 0;
  this->other.store.on_wait = [&] {
    EXPECT_EQ(this->other.store.Versions().at(kTable), version);
    this->other.SyncFrom(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_EQ(this->other.recording_store.reads, 0);
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.recorder.rows.size(), 2U);
}

TEST_F(RelayedStoreTest, RejectsASnapshotFromALeaderThatLostTheStore) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Step();
  this->clock.Advance(std::chrono::seconds(3));
  this->memory.Put({kTable, "", "b"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "c"}, "1");
  this->memory.DropHistory();
  this->other.Step();
  // The history is lost, so the next step needs a snapshot.
  this->other.store.on_wait = [&] {
    this->other.SyncFrom(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_regressed);
  EXPECT_EQ(this->other.recorder.rows.size(), 3U);
}

TEST_F(RelayedStoreTest, RejectsASnapshotOlderThanItsOwnVersion) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Step();
  this->memory.Put({kTable, "", "b"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "c"}, "1");
  this->memory.DropHistory();
  this->other.Step();
  // The history is lost, so the next step needs a snapshot.
  this->other.store.on_wait = [&] {
    this->other.SyncFrom(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_regressed);
  EXPECT_EQ(this->other.recorder.rows.size(), 3U);
}

TEST_F(RelayedStoreTest, StartsFromTheStoreIfTheLeaderSnapshotIsOutdated) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->clock.Advance(std::chrono::seconds(3));
  this->memory.Put({kTable, "", "a"}, "2");
  this->other.store.on_wait = [&] {
    this->other.SyncFrom(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
}

TEST_F(RelayedStoreTest, SendsASnapshotToAHostWithoutACopy) {
  // The leader has followed the table since it was empty.
  this->leader.Step();
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.SyncFrom(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.size(), 1U);
  EXPECT_EQ(this->other.recording_store.reads, 0);
}

TEST_F(RelayedStoreTest, DiscardsAPendingSnapshotOlderThanTheStoreRead) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "b"}, "1");
  this->leader.Step();
  // The leader has no history from before its start, so it sends a snapshot.
  this->other.SyncFrom(this->leader, this->clock);
  this->memory.Put({kTable, "", "c"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "d"}, "1");
  this->memory.DropHistory();
  for (int i = 0; i < 2; ++i) this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_regressed);
  EXPECT_EQ(this->other.recorder.rows.size(), 4U);
}

TEST_F(RelayedStoreTest, AppliesALeadersSnapshotWhileTheStoreIsUnreachable) {
  this->memory.Put({kTable, "", "a"}, "1");
  const auto copy = this->memory.TakeCopy();
  this->memory.Put({kTable, "", "a"}, "2");
  for (auto* host : {&this->leader, &this->other}) host->Step();
  this->memory.Restore(copy);
  this->memory.Put({kTable, "", "a"}, "3");
  for (int i = 0; i < 2; ++i) this->leader.Step();
  this->memory.SetDown(true);
  this->other.SyncFrom(this->leader, this->clock);
  for (int i = 0; i < 2; ++i) this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "3");
}

TEST_F(RelayedStoreTest, StartsFromTheStoreIfThereIsNoLeader) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "1");
}

// On the first start of a fleet there is no leader yet. If each host read the
// tables itself, the store would answer as many reads as there are hosts.
TEST_F(RelayedStoreTest, WaitsForTheLeaderOnTheFirstStartOfTheFleet) {
  this->memory.Put({kTable, "", "a"}, "1");
  Host starting(this->memory, this->clock, std::chrono::seconds(3));
  const auto started_at = this->clock.Now();
  bool has_snapshot = false;
  starting.store.on_wait = [&] {
    // The leader is elected after one second.
    if (this->clock.Now() - started_at < std::chrono::seconds(1)) return;
    if (has_snapshot) return;
    has_snapshot = true;
    this->leader.Step();
    starting.SyncFrom(this->leader, this->clock);
  };
  starting.Step();
  EXPECT_EQ(starting.recorder.rows.at("a"), "1");
  EXPECT_EQ(starting.recording_store.reads, 0);
  EXPECT_LE(this->clock.Now() - started_at, milliseconds(1500));
}

TEST_F(RelayedStoreTest, ReadsTheStoreOnceItBecomesTheLeaderItself) {
  this->memory.Put({kTable, "", "a"}, "1");
  Host starting(this->memory, this->clock, std::chrono::seconds(3));
  const auto started_at = this->clock.Now();
  starting.store.on_wait = [&] { starting.store.SetLeader(true); };
  starting.Step();
  EXPECT_EQ(starting.recorder.rows.at("a"), "1");
  EXPECT_LE(this->clock.Now() - started_at, milliseconds(200));
}

// A host that loses the history after a partition has to read the table again
// soon: it has to know within seconds which servers have left meanwhile.
TEST_F(RelayedStoreTest, WaitsForTheElectionOnlyAfterItsStart) {
  this->memory.Put({kTable, "", "a"}, "1");
  Host host(this->memory, this->clock, std::chrono::seconds(3));
  host.Step();
  this->clock.Advance(std::chrono::seconds(5));
  this->memory.Put({kTable, "", "a"}, "2");
  this->memory.DropHistory();
  const auto healed_at = this->clock.Now();
  for (int i = 0; i < 2; ++i) host.Step();
  EXPECT_EQ(host.recorder.rows.at("a"), "2");
  EXPECT_LE(this->clock.Now() - healed_at, milliseconds(400));
}

// While there is no leader, every host polls the store. A table that changes
// all the time answers each poll at once, so that the number of calls is
// limited by the interval between polls only.
TEST_F(RelayedStoreTest, PollsAChangingTableOnceASecondWithoutALeader) {
  this->memory.Put({kTable, "", "a"}, "0");
  this->other.Step();
  this->other.recording_store.reads = 0;
  const auto started_at = this->clock.Now();
  TimePoint changed_at = started_at;
  int writes = 0;
  const auto change = [&] {
    changed_at = this->clock.Now();
    this->memory.Put({kTable, "", "a"}, std::to_string(++writes));
  };
  this->other.store.on_wait = change;
  while (this->clock.Now() - started_at < std::chrono::seconds(10)) {
    change();
    this->other.Step();
    EXPECT_EQ(this->other.recorder.rows.at("a"), std::to_string(writes));
    // Changes have to be in force within two seconds.
    EXPECT_LE(this->clock.Now() - changed_at, milliseconds(1100));
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_LE(this->other.recording_store.reads, 11);
}

/// A row is written while the store waits for changes to tell the host, and the
/// response is lost.
/// @return how long after the write the host has the row.
auto DelayAfterALostResponse(Host& host, MemoryStore& memory,
                             ManualClock& clock) -> Duration {
  auto& store = host.recording_store;
  TimePoint written_at;
  bool is_lost = false;
  store.on_follow = [&] {
    if (is_lost) return;
    is_lost = true;
    memory.Put({kTable, "", "a"}, "2");
    written_at = clock.Now();
    clock.Advance(store.last_wait + kFollowTimeoutMargin);
    throw StoreError("no response");
  };
  while (host.recorder.rows.at("a") != "2") {
    clock.Advance(host.follower.Step());
  }
  store.on_follow = nullptr;
  return clock.Now() - written_at;
}

TEST_F(RelayedStoreTest, UsesARowWithinTwoSecondsAfterALostResponse) {
  this->memory.Put({kTable, "", "a"}, "1");
  for (auto* host : {&this->leader, &this->other}) host->Step();
  for (auto* host : {&this->leader, &this->other}) {
    const auto delay =
        DelayAfterALostResponse(*host, this->memory, this->clock);
    EXPECT_LT(delay, milliseconds(2000));
    this->memory.Put({kTable, "", "a"}, "1");
    this->clock.Advance(std::chrono::seconds(2));
    this->other.Step();
  }
}

TEST_F(RelayedStoreTest, RejectsMalformedUpdates) {
  EXPECT_THROW(TableUpdate::Decode(""), InputError);
  EXPECT_THROW(TableUpdate::Decode("x"), InputError);
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  const auto updates = this->leader.store.UpdatesSince({{kTable, {}}});
  const auto text = updates[0].Encode();
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(TableUpdate::Decode(text.substr(0, length)), InputError);
  }
}

/// A leader and another host that both have rows and versions which a restore
/// of the store takes back.
class RolledBackStoreTest : public RelayedStoreTest {
 protected:
  using Rows = std::map<std::string, std::string>;

  RolledBackStoreTest() {
    this->memory.Put({kTable, "", "a"}, "1");
    this->copy = this->memory.TakeCopy();
    this->leader.Step();
    this->Put("a", "lost");
    this->Put("b", "lost");
    this->Put("c", "lost");
    this->leader.Step();
    this->other.SyncFrom(this->leader, this->clock);
    this->other.Step();
  }
  auto Put(const std::string& key, const std::string& value) -> void {
    this->memory.Put({kTable, "", key}, value);
  }
  auto StepBoth() -> void {
    for (int i = 0; i < 3; ++i) this->leader.Step();
    this->other.SyncFrom(this->leader, this->clock);
    for (int i = 0; i < 3; ++i) this->other.Step();
  }

  MemoryStore::Copy copy;
};

TEST_F(RolledBackStoreTest, BothHostsHaveTheRowsBeforeTheRollback) {
  EXPECT_EQ(this->leader.recorder.rows.size(), 3U);
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
}

TEST_F(RolledBackStoreTest, DeliversChangesMadeAfterAStoreRollback) {
  this->memory.Restore(this->copy);
  this->Put("a", "2");
  this->StepBoth();
  const Rows expected = {{"a", "2"}};
  EXPECT_EQ(this->leader.recorder.rows, expected);
  EXPECT_EQ(this->other.recorder.rows, expected);
}

TEST_F(RolledBackStoreTest, TakesBackRowsThatTheRollbackLost) {
  this->memory.Restore(this->copy);
  this->StepBoth();
  const Rows expected = {{"a", "1"}};
  EXPECT_EQ(this->leader.recorder.rows, expected);
  EXPECT_EQ(this->other.recorder.rows, expected);
}

// The version that the hosts have exists again, with other rows below it.
TEST_F(RolledBackStoreTest, AFeedFromAReusedVersionSkipsNoChanges) {
  this->memory.Restore(this->copy);
  this->Put("a", "2");
  for (const auto* key : {"d", "e", "f", "g"}) this->Put(key, "2");
  this->StepBoth();
  const Rows expected = {
      {"a", "2"}, {"d", "2"}, {"e", "2"}, {"f", "2"}, {"g", "2"}};
  EXPECT_EQ(this->leader.recorder.rows, expected);
  EXPECT_EQ(this->other.recorder.rows, expected);
}

// The host reports a version of the older epoch, which the leader has again.
TEST_F(RolledBackStoreTest, SendsASnapshotToAHostThatMissedTheRollback) {
  this->memory.Restore(this->copy);
  Host new_leader(this->memory, this->clock);
  new_leader.store.SetLeader(true);
  new_leader.Step();
  this->Put("a", "2");
  for (const auto* key : {"d", "e", "f", "g"}) this->Put(key, "2");
  new_leader.Step();
  const auto updates =
      new_leader.store.UpdatesSince(this->other.store.Versions());
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_TRUE(updates[0].is_full);
  this->other.SyncFrom(new_leader, this->clock);
  for (int i = 0; i < 3; ++i) this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, new_leader.recorder.rows);
}

// The host reports a version of the older epoch above the leader's.
TEST_F(RolledBackStoreTest, SendsASnapshotToAHostAheadOfTheRestoredStore) {
  this->memory.Restore(this->copy);
  Host new_leader(this->memory, this->clock);
  new_leader.store.SetLeader(true);
  new_leader.Step();
  const auto updates =
      new_leader.store.UpdatesSince(this->other.store.Versions());
  ASSERT_EQ(updates.size(), 1U);
  EXPECT_TRUE(updates[0].is_full);
  this->other.SyncFrom(new_leader, this->clock);
  for (int i = 0; i < 3; ++i) this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, new_leader.recorder.rows);
}

// A leader that is cut off from the store sends rows that no longer exist.
TEST_F(RolledBackStoreTest, RejectsUpdatesFromALeaderThatMissedTheRollback) {
  this->memory.Restore(this->copy);
  Host host(this->memory, this->clock);
  host.Step();
  const Rows expected = {{"a", "1"}};
  ASSERT_EQ(host.recorder.rows, expected);
  host.SyncFrom(this->leader, this->clock);
  for (int i = 0; i < 3; ++i) host.Step();
  EXPECT_EQ(host.recorder.rows, expected);
}

// The host has seen the newer epoch, but has to read the table again.
TEST_F(RolledBackStoreTest, RejectsASnapshotFromALeaderThatMissedTheRollback) {
  this->memory.Restore(this->copy);
  Host host(this->memory, this->clock);
  host.Step();
  this->Put("a", "2");
  this->memory.DropHistory();
  host.Step();
  host.store.on_wait = [&] { host.SyncFrom(this->leader, this->clock); };
  for (int i = 0; i < 2; ++i) host.Step();
  const Rows expected = {{"a", "2"}};
  EXPECT_EQ(host.recorder.rows, expected);
}

/// Checks that both hosts have the stored rows, and that no row regresses,
/// after any sequence of actions.
/// @param actions  the number of kinds of actions; the last two take a copy of
///   the store and restore it.
auto AgreesWithTheStore(int actions) -> bool {
  return rc::check(
      "both hosts have the stored rows, and no row regresses", [&] {
        ManualClock clock;
        MemoryStore memory(clock);
        std::array<Host, 2> hosts = {Host(memory, clock), Host(memory, clock)};
        int leader_index = 0;
        hosts[leader_index].store.SetLeader(true);
        // A store that was never written to has version 0, argument also means
        // that the table is unknown.
        memory.Put({kTable, "", "first"}, "1");
        std::map<std::string, std::string> expected = {{"first", "1"}};
        auto copy = memory.TakeCopy();
        auto expected_at_copy = expected;
        int writes = 0;
        const auto steps =
            *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, actions), rc::gen::inRange(0, 4)));
        for (const auto& [action, argument] : steps) {
          const auto key = std::to_string(argument);
          auto& other = hosts[1 - leader_index];
          if (action <= 1) {
            memory.Put({kTable, "", key}, std::to_string(++writes));
            expected[key] = std::to_string(writes);
          }
          if (action == 2) {
            memory.Remove({kTable, "", key});
            expected.erase(key);
          }
          if (action == 3) memory.DropHistory();
          if (action == 4) memory.SetDown(argument == 0);
          if (action == 5) hosts[leader_index].Step();
          if (action == 6) other.SyncFrom(hosts[leader_index], clock);
          if (action == 7) other.Step();
          if (action == 8) clock.Advance(milliseconds(400 * argument));
          if (action == 9 && argument == 0) {
            hosts[leader_index].store.SetLeader(false);
            leader_index = 1 - leader_index;
            hosts[leader_index].store.SetLeader(true);
          }
          if (action == 10) {
            copy = memory.TakeCopy();
            expected_at_copy = expected;
          }
          if (action == 11) {
            memory.Restore(copy);
            expected = expected_at_copy;
          }
        }
        memory.SetDown(false);
        const auto check = [&] {
          for (const auto& host : hosts) {
            RC_ASSERT(host.recorder.rows == expected);
            RC_ASSERT(!host.recorder.has_regressed);
          }
        };
        auto& leader = hosts[leader_index];
        auto& other = hosts[1 - leader_index];
        for (int i = 0; i < 3; ++i) leader.Step();
        other.SyncFrom(leader, clock);
        for (int i = 0; i < 3; ++i) other.Step();
        check();
        // These changes arrive through the leader only: a read of the store
        // would hide missing rows.
        memory.Put({kTable, "", "last"}, "1");
        memory.Remove({kTable, "", "0"});
        expected["last"] = "1";
        expected.erase("0");
        leader.Step();
        other.SyncFrom(leader, clock);
        const int reads = other.recording_store.reads;
        other.Step();
        RC_ASSERT(other.recording_store.reads == reads);
        check();
      });
}

TEST(RelayedStore, AgreesWithTheStoreAfterAnyHistory) {
  EXPECT_TRUE(AgreesWithTheStore(10));
}

TEST(RelayedStore, AgreesWithTheStoreAfterAnyRollback) {
  EXPECT_TRUE(AgreesWithTheStore(12));
}

}  // namespace
}  // namespace currantbeam
