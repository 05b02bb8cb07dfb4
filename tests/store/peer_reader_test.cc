#include "store/peer_reader.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "fiber_test.h"
#include "store/store.h"
#include "store/store_clock.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* const kTable = "t";

/// Other hosts, which take some time to respond or fail.
class FakeLink : public PeerLink {
 public:
  explicit FakeLink(ManualClock& clock) : store(clock) {}

  auto Send(const std::string& endpoint, const StoreReadRequest& request,
            milliseconds timeout) -> RowBatch override {
    this->asked.push_back(endpoint);
    if (this->silent.count(endpoint) != 0) {
      SleepFor(timeout);
      throw StoreError("no response");
    }
    SleepFor(milliseconds(5));
    if (this->failing.count(endpoint) != 0) throw StoreError("HTTP 503");
    if (!request.after) return this->store.Read(request.table, "");
    return this->store.Follow(request.table, *request.after, request.wait);
  }

  MemoryStore store;
  std::vector<std::string> asked;
  std::set<std::string> silent;
  std::set<std::string> failing;
};

class PeerReaderTest : public testing::Test {
 protected:
  PeerReaderTest() {
    for (int i = 0; i < 8; ++i) this->hosts.Add("host:" + std::to_string(i));
    this->link.store.Put({kTable, "", "a"}, "1");
  }

  auto Run(const std::function<void()>& body) -> void {
    FiberLoop loop(this->clock);
    RunInFiber(loop, body);
  }
  auto FailAll(std::set<std::string>& failures) -> void {
    for (int i = 0; i < 8; ++i) failures.insert("host:" + std::to_string(i));
  }

  ManualClock clock;
  FakeLink link{this->clock};
  KnownHosts hosts{this->clock, "host:own", 1};
  PeerReader reader{this->link, this->hosts, this->clock};
};

TEST_F(PeerReaderTest, StaysWithTheHostThatResponded) {
  this->Run([this] {
    const auto batch = this->reader.Read(kTable, "");
    EXPECT_TRUE(batch.is_from_peer);
    EXPECT_EQ(batch.rows.size(), 1U);
    SleepFor(seconds(1));
    this->link.asked.clear();
    for (int i = 0; i < 3; ++i) {
      this->reader.Follow(kTable, batch.version, milliseconds(0));
    }
    ASSERT_EQ(this->link.asked.size(), 3U);
    EXPECT_EQ(
        std::set<std::string>(this->link.asked.begin(), this->link.asked.end())
            .size(),
        1U);
  });
}

TEST_F(PeerReaderTest, AsksOthersWhileTheLastOneIsSilent) {
  this->Run([this] {
    const auto batch = this->reader.Read(kTable, "");
    SleepFor(seconds(1));
    this->link.asked.clear();
    this->reader.Follow(kTable, batch.version, milliseconds(0));
    this->link.silent.insert(this->link.asked.front());
    const auto asked_at = this->clock.Now();
    this->reader.Follow(kTable, batch.version, milliseconds(0));
    EXPECT_LT(this->clock.Now() - asked_at, milliseconds(300));
  });
}

TEST_F(PeerReaderTest, AsksFewHostsWhileNoneReachesTheStore) {
  this->Run([this] {
    this->FailAll(this->link.failing);
    const auto end = this->clock.Now() + seconds(10);
    while (this->clock.Now() < end) {
      EXPECT_THROW(this->reader.Read(kTable, ""), StoreError);
      SleepFor(milliseconds(100));
    }
    EXPECT_LT(this->link.asked.size(), 120U);
    this->link.failing.clear();
    SleepFor(seconds(1));
    EXPECT_EQ(this->reader.Read(kTable, "").rows.size(), 1U);
  });
}

TEST_F(PeerReaderTest, PassesOnThatTheHistoryIsLost) {
  this->Run([this] {
    const auto batch = this->reader.Read(kTable, "");
    this->link.store.Put({kTable, "", "a"}, "2");
    this->link.store.DropHistory();
    EXPECT_THROW(this->reader.Follow(kTable, batch.version, milliseconds(0)),
                 HistoryLost);
  });
}

TEST_F(PeerReaderTest, FailsAtOnceWithoutOtherHosts) {
  KnownHosts none(this->clock, "host:own", 1);
  none.Add("host:own");
  PeerReader alone(this->link, none, this->clock);
  this->Run([&] {
    const auto asked_at = this->clock.Now();
    EXPECT_THROW(alone.Read(kTable, ""), StoreError);
    EXPECT_EQ(this->clock.Now(), asked_at);
  });
}

/// A store that takes a time to respond.
class LateStore : public MemoryStore {
 public:
  using MemoryStore::MemoryStore;
  auto Follow(const std::string& table, StoreVersion after, milliseconds wait)
      -> RowBatch override {
    ++this->calls;
    SleepFor(this->delay);
    return MemoryStore::Follow(table, after, wait);
  }

  [[nodiscard]] auto IsReceiving() const -> bool override {
    return this->is_receiving;
  }

  Duration delay{0};
  int calls = 0;
  bool is_receiving = false;
};

TEST_F(PeerReaderTest, AStoreThatIsLateIsStillUsedWithoutOtherHosts) {
  KnownHosts none(this->clock, "host:own", 1);
  PeerReader alone(this->link, none, this->clock);
  LateStore late(this->clock);
  PeerBackedStore store(late, alone, this->clock);
  late.Put({kTable, "", "a"}, "1");
  late.delay = milliseconds(600);
  this->Run([&] {
    for (int i = 0; i < 5; ++i) {
      EXPECT_EQ(store.Follow(kTable, {0, 0}, milliseconds(0)).rows.size(), 1U);
    }
    // One more for each, as the first response may have been lost.
    EXPECT_LE(late.calls, 10);
  });
}

// A large row that all hosts fetch at once arrives slowly; with more copies of
// it, it would not arrive at all.
TEST_F(PeerReaderTest, OtherHostsAreNotAskedWhileAResponseIsArriving) {
  LateStore large(this->clock);
  PeerBackedStore store(large, this->reader, this->clock);
  large.delay = milliseconds(700);
  large.is_receiving = true;
  this->Run([&] {
    store.Follow(kTable, {0, 0}, milliseconds(0));
    EXPECT_TRUE(this->link.asked.empty());
    EXPECT_EQ(large.calls, 1);
  });
}

/// A store whose responses take longer to arrive than they may.
class CutShortStore : public MemoryStore {
 public:
  using MemoryStore::MemoryStore;
  auto Follow(const std::string& /*table*/, StoreVersion /*after*/,
              milliseconds /*wait*/) -> RowBatch override {
    SleepFor(milliseconds(50));
    throw ResponseCutShort("cut short");
  }
};

TEST_F(PeerReaderTest, OtherHostsAreNotAskedAfterAResponseWasCutShort) {
  CutShortStore cut_short(this->clock);
  CircuitBreakerStore breaker(cut_short, this->clock);
  PeerBackedStore store(breaker, this->reader, this->clock);
  this->Run([&] {
    for (int i = 0; i < 5; ++i) {
      EXPECT_THROW(store.Follow(kTable, {0, 0}, milliseconds(0)), StoreError);
    }
    EXPECT_TRUE(this->link.asked.empty());
  });
}

TEST_F(PeerReaderTest, OtherHostsAreNotAskedWhileTheStoreAnswers) {
  LateStore prompt(this->clock);
  PeerBackedStore store(prompt, this->reader, this->clock);
  prompt.delay = milliseconds(150);
  this->Run([&] {
    for (int i = 0; i < 20; ++i) {
      store.Follow(kTable, {0, 0}, milliseconds(0));
    }
    EXPECT_TRUE(this->link.asked.empty());
  });
}

TEST(KnownHosts, AreBoundedAndChosenWithThoseThatFailLast) {
  ManualClock clock;
  KnownHosts hosts(clock, "own:1", 1);
  for (int i = 0; i < 500; ++i) {
    clock.Advance(milliseconds(1));
    hosts.Add("host:" + std::to_string(i));
  }
  const auto all = hosts.Choose(1000);
  EXPECT_EQ(all.size(), 64U);
  for (std::size_t i = 0; i < 60; ++i) hosts.OnAsked(all[i]);
  const auto chosen = hosts.Choose(4);
  for (const auto& host : chosen) {
    EXPECT_NE(std::find(all.begin() + 60, all.end(), host), all.end());
  }
  hosts.OnSuccess(all[0]);
  const auto next = hosts.Choose(5);
  EXPECT_NE(std::find(next.begin(), next.end(), all[0]), next.end());
}

TEST(StoreReadRequest, RoundTripsAndRejectsInvalidWaits) {
  StoreReadRequest request;
  request.table = "servers";
  request.partition = "p";
  request.after = StoreVersion{3, 17};
  request.wait = milliseconds(400);
  const auto decoded = StoreReadRequest::Decode(request.Encode());
  EXPECT_EQ(decoded.table, "servers");
  EXPECT_EQ(decoded.partition, "p");
  EXPECT_TRUE(decoded.after == request.after);
  EXPECT_EQ(decoded.wait, milliseconds(400));
  request.after.reset();
  EXPECT_FALSE(StoreReadRequest::Decode(request.Encode()).after);
  for (const auto wait : {milliseconds(-1), milliseconds(60'000)}) {
    request.wait = wait;
    EXPECT_THROW(StoreReadRequest::Decode(request.Encode()), InputError);
  }
  EXPECT_THROW(StoreReadRequest::Decode("x"), InputError);
}

TEST(StoreClock, DatesAResponseByWhatItStates) {
  StoreClock store_clock;
  const TimePoint start{seconds(100)};
  // A prompt response: the store's clock was 0 at `start`.
  store_clock.OnResponse(seconds(1), start + seconds(1),
                         start + seconds(1) + milliseconds(2));
  // A call that waited for changes: made after 300 ms, received after 700.
  const auto requested_at = start + seconds(5);
  const auto received_at = requested_at + milliseconds(700);
  EXPECT_EQ(store_clock.RespondedAt(seconds(5) + milliseconds(300),
                                    requested_at, received_at),
            requested_at + milliseconds(300));
  // Never before the request, nor after the response.
  EXPECT_EQ(store_clock.RespondedAt(seconds(1), requested_at, received_at),
            requested_at);
  EXPECT_EQ(store_clock.RespondedAt(seconds(9), requested_at, received_at),
            received_at);
}

TEST(StoreClock, FollowsAStoreWhoseClockSteps) {
  StoreClock store_clock;
  const TimePoint start{seconds(100)};
  store_clock.OnResponse(seconds(50), start, start);
  const auto later = start + seconds(1);
  store_clock.OnResponse(seconds(90), later, later);
  const auto requested_at = later + seconds(1);
  EXPECT_EQ(
      store_clock.RespondedAt(seconds(91) + milliseconds(100), requested_at,
                              requested_at + milliseconds(400)),
      requested_at + milliseconds(100));
}

}  // namespace
}  // namespace currantbeam
