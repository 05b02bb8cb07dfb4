#include "store/circuit_breaker_store.h"

#include <gtest/gtest.h>

#include "store/recording_store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const char* const kTable = "t";

class CircuitBreakerStoreTest : public testing::Test {
 protected:
  /// @return whether the read succeeded.
  auto Read() -> bool {
    try {
      this->store.Read(kTable, "");
      return true;
    } catch (const StoreError&) {
      return false;
    }
  }
  /// Reads every 50 ms, as several followers of tables do together.
  auto ReadFor(Duration duration) -> void {
    const auto end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->Read();
      this->clock.Advance(milliseconds(50));
    }
  }

  ManualClock clock;
  MemoryStore memory{this->clock};
  RecordingStore recording_store{this->memory};
  CircuitBreakerStore store{this->recording_store, this->clock};
};

// During an outage every host of the fleet retries the reads of all tables that
// it follows. Each call has its price, and the store has to answer all of them
// when it is back.
TEST_F(CircuitBreakerStoreTest, MakesFewCallsDuringAnOutage) {
  this->memory.SetDown(true);
  this->ReadFor(std::chrono::seconds(9));
  EXPECT_LE(this->recording_store.reads, 10);
  EXPECT_GE(this->recording_store.reads, 6);
}

TEST_F(CircuitBreakerStoreTest, ReadsAgainWithinTheMaximumDelay) {
  this->memory.SetDown(true);
  this->ReadFor(std::chrono::seconds(9));
  this->memory.SetDown(false);
  const auto recovered_at = this->clock.Now();
  while (!this->Read()) this->clock.Advance(milliseconds(50));
  EXPECT_LE(this->clock.Now() - recovered_at, milliseconds(1500));
  // The breaker is closed again, so each read is sent.
  const int reads = this->recording_store.reads;
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(this->Read());
  EXPECT_EQ(this->recording_store.reads, reads + 5);
}

TEST_F(CircuitBreakerStoreTest, ProbesMoreOftenWithAShorterMaximumDelay) {
  this->store.SetMaxDelay(milliseconds(300));
  this->memory.SetDown(true);
  this->ReadFor(std::chrono::seconds(3));
  EXPECT_GE(this->recording_store.reads, 9);
}

TEST_F(CircuitBreakerStoreTest, ASingleFailureDelaysTheNextReadBriefly) {
  this->memory.SetDown(true);
  EXPECT_FALSE(this->Read());
  this->memory.SetDown(false);
  EXPECT_FALSE(this->Read());
  this->clock.Advance(milliseconds(100));
  EXPECT_TRUE(this->Read());
}

TEST_F(CircuitBreakerStoreTest, AProbeDoesNotWaitForAChange) {
  this->memory.SetDown(true);
  EXPECT_FALSE(this->Read());
  this->memory.SetDown(false);
  this->clock.Advance(milliseconds(100));
  this->store.Follow(kTable, 0, milliseconds(2000));
  EXPECT_EQ(this->recording_store.last_wait, milliseconds(0));
  this->store.Follow(kTable, 0, milliseconds(2000));
  EXPECT_EQ(this->recording_store.last_wait, milliseconds(2000));
}

// A coordinator whose reads have failed still has to renew its lease as soon as
// the store accepts the write.
TEST_F(CircuitBreakerStoreTest, SendsWritesWhileReadsAreHeldBack) {
  this->memory.SetDown(true);
  EXPECT_FALSE(this->Read());
  this->memory.SetDown(false);
  StoreWrite write;
  write.puts.push_back({{kTable, "", "a"}, "1", 0, false});
  EXPECT_EQ(this->store.Write(write).outcome, WriteOutcome::kWritten);
  EXPECT_TRUE(this->Read());
}

TEST_F(CircuitBreakerStoreTest, ALostHistoryIsAResponse) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->memory.Put({kTable, "", "a"}, "2");
  this->memory.DropHistory();
  EXPECT_THROW(this->store.Follow(kTable, 1, milliseconds(0)), HistoryLost);
  EXPECT_TRUE(this->Read());
}

}  // namespace
}  // namespace currantbeam
