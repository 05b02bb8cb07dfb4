#include <gtest/gtest.h>

#include "backends/backends.h"
#include "router/end_to_end_headers.h"
#include "router/make_entry.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A directory and the entries of one server, as the store returns them after
/// it was restored from an older copy.
class RestoredEntryTest : public testing::Test {
 protected:
  auto Entry(int started_ms, std::optional<std::uint64_t> sequence)
      -> BackendEntry {
    auto entry = MakeEntry("a", 1);
    entry.started = milliseconds(started_ms);
    entry.sequence = sequence;
    return entry;
  }
  auto DrainingEntry(int started_ms, std::optional<std::uint64_t> sequence)
      -> BackendEntry {
    auto entry = this->Entry(started_ms, sequence);
    entry.is_draining = true;
    return entry;
  }
  auto IsReady() -> bool {
    return !this->directory.Ready(ServiceName("s")).empty();
  }
  auto Started() -> milliseconds {
    return this->directory.Find(ServerId("a"))->entry.started;
  }
  auto Advance(Duration duration) -> void {
    this->clock.Advance(duration);
    this->directory.ApplyTimeouts();
  }

  ManualClock clock;
  BackendDirectory directory{this->clock};
};

// An entry of another writer, whose service no configuration names, was a
// target like any other.
TEST_F(RestoredEntryTest, IsNoServerWhileItsServiceIsNotConfigured) {
  const ServiceName own("s");
  this->directory.Apply(this->Entry(1, 5));
  this->directory.SetServices({ServiceName("t")});
  EXPECT_TRUE(this->directory.All().empty());
  EXPECT_FALSE(this->directory.Apply(this->Entry(1, 6)));
  EXPECT_TRUE(this->directory.All().empty());
  this->directory.SetServices({own, ServiceName("t")});
  EXPECT_TRUE(this->IsReady());
  EXPECT_EQ(this->directory.Find(ServerId("a"))->entry.sequence, 6U);
  this->directory.SetServices({});
  this->directory.Remove(ServerId("a"));
  this->directory.SetServices({own});
  EXPECT_TRUE(this->directory.All().empty());
}

TEST_F(RestoredEntryTest, DoesNotMakeADrainingServerReadyAgain) {
  this->directory.Apply(this->Entry(1, 5));
  this->directory.Apply(this->DrainingEntry(1, 8));
  EXPECT_FALSE(this->directory.Apply(this->Entry(1, 5)));
  EXPECT_FALSE(this->IsReady());
}

TEST_F(RestoredEntryTest, DoesNotMakeADrainingServerWithoutSequenceReadyAgain) {
  this->directory.Apply(this->DrainingEntry(1, std::nullopt));
  this->directory.Apply(this->Entry(1, std::nullopt));
  EXPECT_FALSE(this->IsReady());
}

TEST_F(RestoredEntryTest, DoesNotReplaceAServerByItsProcessBeforeTheRestart) {
  this->directory.Apply(this->Entry(1, 50));
  this->directory.Apply(this->Entry(2, 3));
  EXPECT_EQ(this->Started(), milliseconds(2));
  EXPECT_FALSE(this->directory.Apply(this->Entry(1, 50)));
  EXPECT_EQ(this->Started(), milliseconds(2));
}

TEST_F(RestoredEntryTest, DoesNotReplaceALaterEntryOfTheSameProcess) {
  auto older = this->Entry(1, 5);
  older.slots = 1;
  this->directory.Apply(older);
  this->directory.Apply(this->Entry(1, 8));
  this->directory.Apply(older);
  EXPECT_EQ(this->directory.Find(ServerId("a"))->entry.slots, 4);
}

TEST_F(RestoredEntryTest, IsReplacedAtOnceByANewerEntryOfTheServer) {
  this->directory.Apply(this->DrainingEntry(1, 8));
  this->directory.Apply(this->Entry(1, 5));
  EXPECT_TRUE(this->directory.Apply(this->Entry(2, 1)));
  EXPECT_TRUE(this->IsReady());
  this->Advance(seconds(20));
  EXPECT_EQ(this->Started(), milliseconds(2));
}

TEST_F(RestoredEntryTest, IsUsedIfTheStoreStillHasItAfterTheHold) {
  this->directory.Apply(this->Entry(2, 1));
  this->directory.Apply(this->Entry(1, 50));
  this->Advance(seconds(5));
  // A repeated delivery does not prolong the hold.
  this->directory.Apply(this->Entry(1, 50));
  EXPECT_EQ(this->Started(), milliseconds(2));
  this->Advance(seconds(6));
  EXPECT_EQ(this->Started(), milliseconds(1));
}

TEST_F(RestoredEntryTest, IsDiscardedWhenTheStoreRemovesIt) {
  this->directory.Apply(this->DrainingEntry(1, 8));
  this->directory.Apply(this->Entry(1, 5));
  this->directory.Remove(ServerId("a"));
  this->Advance(seconds(20));
  EXPECT_EQ(this->directory.Find(ServerId("a")), nullptr);
}

TEST_F(RestoredEntryTest, IsUsedIfItsAgeIsUnknown) {
  this->directory.Apply(this->Entry(1, 8));
  EXPECT_TRUE(this->directory.Apply(this->Entry(1, std::nullopt)));
  EXPECT_TRUE(this->directory.Apply(this->Entry(1, 8)));
  EXPECT_TRUE(this->directory.Apply(this->Entry(1, 8)));
}

/// A directory that knows server `a`, whose process has said that it leaves.
class LeavingProcessTest : public testing::Test {
 protected:
  LeavingProcessTest() {
    this->directory.Apply(this->Entry(1));
    this->directory.OnLeaving(ServerId("a"), milliseconds(1));
  }
  static auto Entry(int started) -> BackendEntry {
    auto entry = MakeEntry("a", 1);
    entry.started = milliseconds(started);
    return entry;
  }
  auto IsReady() -> bool {
    return !this->directory.Ready(ServiceName("s")).empty();
  }

  ManualClock clock;
  BackendDirectory directory{this->clock};
};

TEST_F(LeavingProcessTest, IsNotReadyWhateverItsEntrySays) {
  EXPECT_FALSE(this->IsReady());
  auto entry = this->Entry(1);
  entry.slots = 7;
  EXPECT_TRUE(this->directory.Apply(entry));
  EXPECT_FALSE(this->IsReady());
}

TEST_F(LeavingProcessTest, IsNotReadyIfItsEntryReturns) {
  this->directory.Remove(ServerId("a"));
  this->clock.Advance(seconds(30));
  this->directory.ApplyTimeouts();
  this->directory.Apply(this->Entry(1));
  this->clock.Advance(seconds(30));
  this->directory.ApplyTimeouts();
  EXPECT_NE(this->directory.Find(ServerId("a")), nullptr);
  EXPECT_FALSE(this->IsReady());
}

TEST_F(LeavingProcessTest, IsFollowedByAReadyOne) {
  EXPECT_TRUE(this->directory.Apply(this->Entry(2)));
  EXPECT_TRUE(this->IsReady());
  // A late response of the former process.
  this->directory.OnLeaving(ServerId("a"), milliseconds(1));
  EXPECT_TRUE(this->IsReady());
}

TEST(BackendLoad, LimitsThePauseThatAServerAsksFor) {
  ManualClock clock;
  BackendLoad load(4, std::make_shared<TypicalLatency>(milliseconds(10)),
                   clock.Now());
  EXPECT_FALSE(load.IsPaused(clock.Now()));
  load.OnPaused(clock.Now(), seconds(2));
  load.OnPaused(clock.Now(), seconds(1));
  EXPECT_TRUE(load.IsPaused(clock.Now() + milliseconds(1999)));
  EXPECT_FALSE(load.IsPaused(clock.Now() + seconds(2)));
  load.OnPaused(clock.Now(), std::chrono::hours(1000));
  EXPECT_TRUE(load.IsPaused(clock.Now() + seconds(299)));
  EXPECT_FALSE(load.IsPaused(clock.Now() + seconds(300)));
}

TEST(ParseSeconds, ReadsDecimalNumbersOnly) {
  EXPECT_EQ(ParseSeconds("2"), milliseconds(2000));
  EXPECT_EQ(ParseSeconds("0.25"), milliseconds(250));
  for (const auto* text : {"", "-1", "-0", "nan", "inf", "1e3", "2 s", " 2",
                           "Sat, 05 Dec 2026 00:00:00 GMT"}) {
    EXPECT_EQ(ParseSeconds(text), std::nullopt) << text;
  }
  EXPECT_EQ(ParseSeconds("99999999999999999999999"),
            milliseconds(std::chrono::hours(24 * 365)));
}

}  // namespace
}  // namespace currantbeam
