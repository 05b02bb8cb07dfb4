#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "store/recording_store.h"
#include "store/store.h"

namespace currantbeam {
namespace {

const RowName kRowA = {"t", "", "a"};
const RowName kRowB = {"t", "", "b"};

auto Options() -> FollowOptions {
  FollowOptions options;
  options.table = "t";
  return options;
}

/// Records the rows and the state that are delivered.
class Recorder : public TableListener {
 public:
  auto OnRow(const StoreRow& row) -> void override {
    this->rows[row.name.key] = row.value;
  }
  auto OnRemoved(const std::string& key) -> void override {
    this->rows.erase(key);
    this->was_reachable_at_removal = this->reachable;
  }
  auto OnSynced() -> void override { ++this->batches; }
  auto OnReachable(bool reachable) -> void override {
    this->reachable = reachable;
  }
  auto OnRollback() -> void override {
    ++this->rollbacks;
    this->rows_at_rollback = this->rows;
  }

  std::map<std::string, std::string> rows;
  std::map<std::string, std::string> rows_at_rollback;
  int batches = 0;
  int rollbacks = 0;
  bool reachable = true;
  bool was_reachable_at_removal = false;
};

class TableFollowerTest : public testing::Test {
 protected:
  ManualClock clock;
  MemoryStore store{this->clock};
  Recorder recorder;
  TableFollower follower{this->store, Options(), this->recorder};
};

TEST_F(TableFollowerTest, FollowsRowsThatAreWrittenAndRemoved) {
  this->store.Put(kRowA, "1");
  this->follower.Step();
  EXPECT_EQ(this->recorder.rows.at("a"), "1");
  this->store.Put(kRowA, "2");
  this->store.Put(kRowB, "3");
  this->store.Put({"other", "", "c"}, "4");
  this->follower.Step();
  EXPECT_EQ(this->recorder.rows.at("a"), "2");
  EXPECT_EQ(this->recorder.rows.size(), 2U);
  this->store.Remove(kRowA);
  this->follower.Step();
  EXPECT_EQ(this->recorder.rows.count("a"), 0U);
}

TEST_F(TableFollowerTest, ReadsASnapshotWhenHistoryWasDropped) {
  this->store.Put(kRowA, "1");
  this->store.Put(kRowB, "1");
  this->follower.Step();
  this->store.Remove(kRowA);
  this->store.Put(kRowB, "2");
  this->store.DropHistory();
  for (int i = 0; i < 2; ++i) this->follower.Step();
  EXPECT_EQ(this->recorder.rows.count("a"), 0U);
  EXPECT_EQ(this->recorder.rows.at("b"), "2");
}

TEST_F(TableFollowerTest, KeepsRowsAndBacksOffWhileTheStoreIsUnreachable) {
  this->store.Put(kRowA, "1");
  this->follower.Step();
  this->store.SetDown(true);
  auto delay = this->follower.Step();
  EXPECT_FALSE(this->recorder.reachable);
  EXPECT_EQ(this->recorder.rows.at("a"), "1");
  for (int i = 0; i < 10; ++i) {
    const auto next_delay = this->follower.Step();
    EXPECT_GE(next_delay, delay);
    EXPECT_LE(next_delay, std::chrono::seconds(1));
    delay = next_delay;
  }
  this->store.SetDown(false);
  this->follower.Step();
  EXPECT_TRUE(this->recorder.reachable);
}

TEST_F(TableFollowerTest, ReportsTheStoreReachableBeforeRemovedRows) {
  this->store.Put(kRowA, "1");
  this->store.Put(kRowB, "1");
  for (int i = 0; i < 2; ++i) this->follower.Step();
  this->store.SetDown(true);
  this->follower.Step();
  this->store.Remove(kRowA);
  this->store.SetDown(false);
  this->follower.Step();
  ASSERT_EQ(this->recorder.rows.count("a"), 0U);
  EXPECT_TRUE(this->recorder.was_reachable_at_removal);
}

TEST_F(TableFollowerTest, ReportsARollbackBeforeTheRowsOfTheRestoredTable) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->follower.Step();
  EXPECT_EQ(this->recorder.rollbacks, 0);
  this->store.Put(kRowB, "1");
  this->follower.Step();
  this->store.Restore(copy);
  for (int i = 0; i < 3; ++i) this->follower.Step();
  EXPECT_EQ(this->recorder.rollbacks, 1);
  EXPECT_EQ(this->recorder.rows_at_rollback.count("b"), 1U);
  EXPECT_EQ(this->recorder.rows.count("b"), 0U);
}

TEST_F(TableFollowerTest, DeliversChangesMadeAfterAStoreRollback) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->store.Put(kRowA, "lost");
  this->store.Put(kRowB, "lost");
  this->follower.Step();
  this->store.Restore(copy);
  this->store.Put(kRowA, "2");
  for (int i = 0; i < 3; ++i) this->follower.Step();
  EXPECT_EQ(this->recorder.rows.at("a"), "2");
  EXPECT_EQ(this->recorder.rows.count("b"), 0U);
}

// The version that the follower has exists again, with other rows below it.
TEST_F(TableFollowerTest, AFeedFromAReusedVersionSkipsNoChanges) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->store.Put(kRowA, "lost");
  this->follower.Step();
  this->store.Restore(copy);
  this->store.Put(kRowB, "2");
  this->store.Put({"t", "", "c"}, "2");
  for (int i = 0; i < 3; ++i) this->follower.Step();
  const std::map<std::string, std::string> expected = {
      {"a", "1"}, {"b", "2"}, {"c", "2"}};
  EXPECT_EQ(this->recorder.rows, expected);
}

TEST(TableFollower, DoesNotLongPollAStoreAfterAFailedCall) {
  ManualClock clock;
  MemoryStore memory(clock);
  RecordingStore store(memory);
  Recorder recorder;
  TableFollower follower(store, Options(), recorder);
  for (int i = 0; i < 2; ++i) follower.Step();
  EXPECT_EQ(store.last_wait, Options().wait);
  memory.SetDown(true);
  // The first call fails; the next ones check whether the store is reachable.
  for (int i = 0; i < 3; ++i) follower.Step();
  EXPECT_EQ(store.last_wait, std::chrono::milliseconds(0));
  memory.SetDown(false);
  for (int i = 0; i < 2; ++i) follower.Step();
  EXPECT_EQ(store.last_wait, Options().wait);
}

/// Checks that the rows delivered are the rows stored after any sequence of
/// actions.
/// @param actions  the number of kinds of actions; the last two take a copy of
///   the store and restore it.
auto AgreesWithTheStore(int actions) -> bool {
  return rc::check("the rows delivered are the rows stored", [&] {
    ManualClock clock;
    MemoryStore store(clock);
    Recorder recorder;
    TableFollower follower(store, Options(), recorder);
    std::map<std::string, std::string> expected;
    auto copy = store.TakeCopy();
    auto expected_at_copy = expected;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, actions), rc::gen::inRange(0, 4)));
    for (const auto& [action, argument] : steps) {
      const auto key = std::to_string(argument);
      if (action <= 1) {
        store.Put({"t", "", key}, key + "/" + std::to_string(action));
        expected[key] = key + "/" + std::to_string(action);
      }
      if (action == 2) {
        store.Remove({"t", "", key});
        expected.erase(key);
      }
      if (action == 3) store.DropHistory();
      if (action == 4) store.SetDown(argument == 0);
      if (action == 5) follower.Step();
      if (action == 6) {
        copy = store.TakeCopy();
        expected_at_copy = expected;
      }
      if (action == 7) {
        store.Restore(copy);
        expected = expected_at_copy;
      }
    }
    store.SetDown(false);
    for (int i = 0; i < 3; ++i) follower.Step();
    RC_ASSERT(recorder.rows == expected);
  });
}

TEST(TableFollower, AgreesWithTheStoreAfterAnyHistory) {
  EXPECT_TRUE(AgreesWithTheStore(6));
}

TEST(TableFollower, AgreesWithTheStoreAfterAnyRollback) {
  EXPECT_TRUE(AgreesWithTheStore(8));
}

TEST(MemoryStore, WritesAllRowsOrNoneUnderConditions) {
  ManualClock clock;
  MemoryStore store(clock);
  StoreWrite write;
  write.conditions.push_back({kRowA, 0});
  write.puts.push_back({kRowA, "1", {}, false});
  const auto first = store.Write(write);
  EXPECT_EQ(first.outcome, WriteOutcome::kWritten);
  write.puts.push_back({kRowB, "1", {}, false});
  const auto second = store.Write(write);
  EXPECT_EQ(second.outcome, WriteOutcome::kConflict);
  ASSERT_EQ(second.rows.size(), 1U);
  EXPECT_EQ(second.rows[0].version, first.version);
  EXPECT_FALSE(store.Find(kRowB).has_value());
  store.DropResponses(1);
  write.conditions = {{kRowA, first.version}};
  EXPECT_EQ(store.Write(write).outcome, WriteOutcome::kUnknown);
  EXPECT_TRUE(store.Find(kRowB).has_value());
}

}  // namespace
}  // namespace currantbeam
