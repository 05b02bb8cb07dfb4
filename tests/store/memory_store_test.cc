#include "store/memory_store.h"

#include <gtest/gtest.h>

#include "store/store.h"

namespace currantbeam {
namespace {

const char* const kTable = "t";
const RowName kRowA = {kTable, "", "a"};
const RowName kRowB = {kTable, "", "b"};

class MemoryStoreRestoreTest : public testing::Test {
 protected:
  auto Follow(StoreVersion after) -> RowBatch {
    return this->store.Follow(kTable, after, std::chrono::milliseconds(0));
  }

  ManualClock clock;
  MemoryStore store{this->clock};
};

TEST_F(MemoryStoreRestoreTest, RestoreTakesBackRowsAndVersions) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->store.Put(kRowA, "2");
  this->store.Put(kRowB, "1");
  const auto lost = this->store.Find(kRowB)->version;
  this->store.Restore(copy);
  EXPECT_EQ(this->store.Find(kRowA)->value, "1");
  EXPECT_FALSE(this->store.Find(kRowB).has_value());
  EXPECT_EQ(this->Follow({1, 0}).version.number, copy.version.number);
  this->store.Put(kRowB, "2");
  this->store.Put(kRowB, "3");
  EXPECT_EQ(this->store.Find(kRowB)->version.number, lost.number);
  EXPECT_GT(this->store.Find(kRowB)->version, lost);
}

TEST_F(MemoryStoreRestoreTest, RestoreTakesBackRemovals) {
  this->store.Put(kRowA, "1");
  this->store.Put(kRowB, "1");
  this->store.Remove(kRowB);
  const auto copy = this->store.TakeCopy();
  this->store.Remove(kRowA);
  this->store.Put(kRowB, "2");
  this->store.Restore(copy);
  EXPECT_TRUE(this->store.Find(kRowA).has_value());
  EXPECT_FALSE(this->store.Find(kRowB).has_value());
  const auto changes = this->Follow({1, copy.version.number - 1});
  ASSERT_EQ(changes.rows.size(), 1U);
  EXPECT_TRUE(changes.rows[0].is_deleted);
}

TEST_F(MemoryStoreRestoreTest, AFeedFromALostVersionHasNoHistory) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->store.Put(kRowA, "2");
  const auto lost = this->store.Find(kRowA)->version;
  this->store.Restore(copy);
  EXPECT_THROW(this->Follow(lost), HistoryLost);
  EXPECT_TRUE(this->Follow({1, copy.version.number}).rows.empty());
  this->store.Put(kRowA, "3");
  // Its number exists again, but belongs to another transaction.
  EXPECT_THROW(this->Follow(lost), HistoryLost);
}

TEST_F(MemoryStoreRestoreTest, RestoreTakesBackADropOfTheHistory) {
  this->store.Put(kRowA, "1");
  this->store.Put(kRowA, "2");
  const auto copy = this->store.TakeCopy();
  this->store.DropHistory();
  EXPECT_THROW(this->Follow({0, 1}), HistoryLost);
  this->store.Restore(copy);
  EXPECT_EQ(this->Follow({1, 1}).rows.size(), 1U);
}

TEST_F(MemoryStoreRestoreTest, EachRestoreBeginsANewEpoch) {
  EXPECT_EQ(this->store.Epoch(), 0U);
  const auto copy = this->store.TakeCopy();
  this->store.Restore(copy);
  EXPECT_EQ(this->store.Epoch(), 1U);
  this->store.Restore(copy);
  EXPECT_EQ(this->store.Epoch(), 2U);
}

TEST_F(MemoryStoreRestoreTest, AWriteUnderAReusedVersionMeetsItsCondition) {
  this->store.Put(kRowA, "1");
  const auto copy = this->store.TakeCopy();
  this->store.Put(kRowA, "2");
  StoreWrite write;
  write.conditions.push_back({kRowA, this->store.Find(kRowA)->version});
  write.puts.push_back({kRowA, "late", {}, false});
  this->store.Restore(copy);
  EXPECT_EQ(this->store.Write(write).outcome, WriteOutcome::kConflict);
  this->store.Put(kRowA, "3");
  EXPECT_EQ(this->store.Write(write).outcome, WriteOutcome::kUnknown);
  EXPECT_EQ(this->store.Find(kRowA)->value, "late");
}

}  // namespace
}  // namespace currantbeam
