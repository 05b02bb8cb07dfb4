#include "store/copy_fetcher.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fiber_test.h"
#include "store/recording_store.h"
#include "store/store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const char* const kTable = "t";
/// More than an update in a reply may have.
constexpr std::size_t kLargeBytes = 100 * 1000;

/// Hosts that have the rows, are busy or lack them.
class FakeHosts : public PeerLink {
 public:
  auto Send(const std::string& endpoint, const StoreReadRequest& request,
            milliseconds /*timeout*/) -> RowBatch override {
    this->asked.push_back(endpoint);
    EXPECT_TRUE(request.is_of_copy);
    SleepFor(milliseconds(5));
    const auto busy = this->busy.find(endpoint);
    if (busy != this->busy.end() && this->asked.size() < this->busy_until) {
      throw CopyBusy(busy->second);
    }
    if (endpoint == "lacking") throw StoreError("the copy is not newer");
    return {};
  }

  std::map<std::string, std::vector<std::string>> busy;
  std::size_t busy_until = 1000;  ///< Requests.
  std::vector<std::string> asked;
};

class CopyFetcherTest : public testing::Test {
 protected:
  auto Fetch() -> void {
    FiberLoop loop(this->clock);
    RunInFiber(loop, [this] {
      try {
        this->fetcher.Fetch({kTable, {0, 2}}, "leader", {0, 1});
      } catch (const StoreError&) {
        this->has_failed = true;
      }
    });
  }

  ManualClock clock;
  FakeHosts hosts;
  CopyFetcher fetcher{this->hosts, this->clock, "own", 1};
  bool has_failed = false;
};

TEST_F(CopyFetcherTest, AsksTheHostThatABusyOneNames) {
  this->hosts.busy["leader"] = {"other"};
  this->Fetch();
  EXPECT_FALSE(this->has_failed);
  EXPECT_EQ(this->hosts.asked, (std::vector<std::string>{"leader", "other"}));
}

TEST_F(CopyFetcherTest, ReturnsToTheAnnouncerIfTheNamedHostLacksTheRows) {
  this->hosts.busy["leader"] = {"lacking"};
  this->hosts.busy_until = 3;
  this->Fetch();
  EXPECT_FALSE(this->has_failed);
  EXPECT_EQ(this->hosts.asked,
            (std::vector<std::string>{"leader", "lacking", "leader"}));
}

TEST_F(CopyFetcherTest, EndsItsSearchWhileAllHostsStayBusy) {
  this->hosts.busy["leader"] = {};
  const auto began_at = this->clock.Now();
  this->Fetch();
  EXPECT_TRUE(this->has_failed);
  EXPECT_LT(this->clock.Now() - began_at, std::chrono::seconds(2));
}

/// A host with a copy of a table that others ask for.
class TableReadServerTest : public testing::Test {
 protected:
  auto Run(const std::function<void()>& body) -> void {
    FiberLoop loop(this->clock);
    RunInFiber(loop, [&] {
      this->memory.Put({kTable, "", "a"}, std::string(kLargeBytes, 'x'));
      this->copies.Read(kTable, "");
      this->store.reads = 0;
      body();
    });
  }
  static auto CopyRequest(const std::string& sender) -> StoreReadRequest {
    StoreReadRequest request;
    request.table = kTable;
    request.after = StoreVersion{0, 0};
    request.is_of_copy = true;
    request.sender = sender;
    return request;
  }
  auto Serve(const StoreReadRequest& request, Duration send_time = Duration(0))
      -> TableUpdate {
    TableUpdate sent;
    this->reads.Serve(request, [&](const TableUpdate& update) {
      SleepFor(send_time);
      sent = TableUpdate::Decode(update.Encode());
    });
    return sent;
  }

  ManualClock clock;
  MemoryStore memory{this->clock};
  RecordingStore store{this->memory};
  CallJoiningStore joined{this->store, this->clock};
  RelayedStore copies{this->store, this->clock, {kTable}, Duration(0)};
  TableReadServer reads{this->copies, this->joined, 0, 1};
};

TEST_F(TableReadServerTest, SendsLargeChangesFromTheCopyCompressed) {
  this->Run([this] {
    const auto update = this->Serve(CopyRequest("a"));
    ASSERT_EQ(update.rows.size(), 1U);
    EXPECT_EQ(update.rows[0].value.size(), kLargeBytes);
    EXPECT_EQ(this->store.reads, 0);
  });
}

TEST_F(TableReadServerTest, NamesHostsThatHaveTheRowsWhileItsLinkIsBusy) {
  this->Run([this] {
    this->Serve(CopyRequest("first"));
    FiberLoop::Current().Spawn(
        [this] { this->Serve(CopyRequest("second"), milliseconds(100)); });
    SleepFor(milliseconds(10));
    std::vector<std::string> named;
    try {
      this->Serve(CopyRequest("third"));
    } catch (const CopyBusy& busy) {
      named = busy.Others();
    }
    EXPECT_EQ(named, std::vector<std::string>{"first"});
    SleepFor(milliseconds(200));
    EXPECT_EQ(this->Serve(CopyRequest("third")).rows.size(), 1U);
  });
}

TEST_F(TableReadServerTest, RejectsARequestForACopyThatIsNotNewer) {
  this->Run([this] {
    auto request = CopyRequest("a");
    request.after = StoreVersion{0, 1};
    EXPECT_THROW(this->Serve(request), StoreError);
    EXPECT_EQ(this->store.reads, 0);
  });
}

TEST_F(TableReadServerTest, MakesCallsToTheStoreThatAreAlikeOnce) {
  this->Run([this] {
    this->store.on_follow = [] { SleepFor(milliseconds(20)); };
    StoreReadRequest request;
    request.table = kTable;
    request.after = StoreVersion{0, 1};
    for (int i = 0; i < 3; ++i) {
      FiberLoop::Current().Spawn([this, request] { this->Serve(request); });
    }
    SleepFor(milliseconds(100));
    EXPECT_EQ(this->store.reads, 1);
  });
}

// A call whose response was lost would keep all hosts that wait for it late.
TEST_F(TableReadServerTest, JoinsNoCallThatIsLate) {
  this->Run([this] {
    this->store.on_follow = [] { SleepFor(milliseconds(800)); };
    StoreReadRequest request;
    request.table = kTable;
    request.after = StoreVersion{0, 1};
    const auto serve = [this, request] { this->Serve(request); };
    FiberLoop::Current().Spawn(serve);
    SleepFor(milliseconds(200));
    FiberLoop::Current().Spawn(serve);
    SleepFor(milliseconds(10));
    EXPECT_EQ(this->store.reads, 2);
    SleepFor(milliseconds(1000));
  });
}

}  // namespace
}  // namespace currantbeam
