#include "store/circuit_breaker_store.h"

#include <gtest/gtest.h>

#include "store/recording_store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const char* const kTable = "t";

/// A store whose calls fail after a timeout, as behind a partition.
class SlowlyFailingStore : public StoreClient {
 public:
  static constexpr Duration kTimeout = milliseconds(500);

  explicit SlowlyFailingStore(ManualClock& clock) : clock(clock) {}

  auto Read(const std::string& /*table*/, const std::string& /*partition*/)
      -> RowBatch override {
    ++this->calls;
    this->previous_sent_at = this->last_sent_at;
    this->last_sent_at = this->clock.Now();
    this->clock.Advance(kTimeout);
    throw StoreError("timed out");
  }
  auto Follow(const std::string& table, StoreVersion /*after*/,
              std::chrono::milliseconds /*wait*/) -> RowBatch override {
    return this->Read(table, "");
  }
  auto Write(const StoreWrite& /*write*/) -> WriteResult override { return {}; }

  int calls = 0;
  TimePoint last_sent_at{};
  TimePoint previous_sent_at{};

 private:
  ManualClock& clock;
};

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
  // Four times a second for each of four tables would be 144.
  EXPECT_LE(this->recording_store.reads, 21);
  EXPECT_GE(this->recording_store.reads, 18);
}

TEST_F(CircuitBreakerStoreTest, ReadsAgainWithinTheMaximumDelay) {
  this->memory.SetDown(true);
  this->ReadFor(std::chrono::seconds(9));
  this->memory.SetDown(false);
  const auto recovered_at = this->clock.Now();
  while (!this->Read()) this->clock.Advance(milliseconds(50));
  EXPECT_LE(this->clock.Now() - recovered_at, milliseconds(500));
  // The breaker is closed again, so each read is sent.
  const int reads = this->recording_store.reads;
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(this->Read());
  EXPECT_EQ(this->recording_store.reads, reads + 5);
}

// A host that was partitioned sends its next probe soon after a call that timed
// out: it has to learn within seconds which servers have left meanwhile.
TEST_F(CircuitBreakerStoreTest, CountsTheIntervalFromWhenACallWasSent) {
  SlowlyFailingStore slow_store(this->clock);
  CircuitBreakerStore breaker(slow_store, this->clock);
  for (int i = 0; i < 5; ++i) {
    while (slow_store.calls == i) {
      EXPECT_THROW(breaker.Read(kTable, ""), StoreError);
      this->clock.Advance(milliseconds(50));
    }
  }
  EXPECT_LE(slow_store.last_sent_at - slow_store.previous_sent_at,
            SlowlyFailingStore::kTimeout + milliseconds(150));
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
  this->store.Follow(kTable, {0, 0}, milliseconds(2000));
  EXPECT_EQ(this->recording_store.last_wait, milliseconds(0));
  this->store.Follow(kTable, {0, 0}, milliseconds(2000));
  EXPECT_EQ(this->recording_store.last_wait, milliseconds(2000));
}

// A coordinator whose reads have failed still has to renew its lease as soon as
// the store accepts the write.
TEST_F(CircuitBreakerStoreTest, SendsWritesWhileReadsAreHeldBack) {
  this->memory.SetDown(true);
  EXPECT_FALSE(this->Read());
  this->memory.SetDown(false);
  StoreWrite write;
  write.puts.push_back({{kTable, "", "a"}, "1", {}, false});
  EXPECT_EQ(this->store.Write(write).outcome, WriteOutcome::kWritten);
  EXPECT_TRUE(this->Read());
}

TEST_F(CircuitBreakerStoreTest, ALostHistoryIsAResponse) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->memory.Put({kTable, "", "a"}, "2");
  this->memory.DropHistory();
  EXPECT_THROW(this->store.Follow(kTable, {0, 1}, milliseconds(0)),
               HistoryLost);
  EXPECT_TRUE(this->Read());
}

TEST_F(CircuitBreakerStoreTest, AProbeThatSucceedsDoesNotCountAsUnreachable) {
  this->memory.SetDown(true);
  this->Read();
  const auto failed_at = this->clock.Now();
  this->memory.SetDown(false);
  this->clock.Advance(std::chrono::seconds(1));
  EXPECT_TRUE(this->Read());
  EXPECT_EQ(this->store.UnreachableAt(), failed_at);
}

TEST_F(CircuitBreakerStoreTest, APollThatFailsAtOnceIsNotDatedLater) {
  this->memory.SetDown(true);
  const auto wait = std::chrono::seconds(25);
  EXPECT_THROW(this->store.Follow(kTable, {}, wait), StoreError);
  EXPECT_EQ(this->store.UnreachableAt(), this->clock.Now());
}

}  // namespace
}  // namespace currantbeam
