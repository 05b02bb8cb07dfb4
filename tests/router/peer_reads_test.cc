#include "router/peer_reads.h"

#include <gtest/gtest.h>

#include "fiber_test.h"
#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host that reads its store for others.
class ReadingHost : public HttpHandler {
 public:
  explicit ReadingHost(TableReadServer& reads) : reads(reads) {}

  auto Handle(HttpExchange& exchange) -> void override {
    try {
      RespondToStoreRead(exchange, this->reads);
    } catch (const InputError&) {
      exchange.Send(HttpResponse{http::status::bad_request, 11});
    }
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}

 private:
  TableReadServer& reads;
};

class PeerReadsTest : public testing::Test {
 protected:
  auto Run(const std::function<void()>& body) -> void {
    FiberLoop loop;
    RunInFiber(loop, [&] {
      this->server.Listen(loop);
      body();
    });
  }
  auto Send(const StoreReadRequest& request) -> RowBatch {
    return this->link.Send("127.0.0.1:" + std::to_string(TestPort(8)), request,
                           milliseconds(2000));
  }
  auto Changes(StoreVersion after) -> StoreReadRequest {
    StoreReadRequest request;
    request.table = "t";
    request.after = after;
    return request;
  }

  SteadyClock clock;
  MemoryStore store{this->clock};
  ManualClock copies_clock;
  RelayedStore copies{this->store, this->copies_clock, {"shared"}, Duration(0)};
  TableReadServer reads{this->copies, this->store, 10, 1};
  ReadingHost host{this->reads};
  HttpServer server{LocalServerOptions(TestPort(8)), this->host};
  HttpPeerLink link;
};

TEST_F(PeerReadsTest, ReadsTablesAndChanges) {
  this->Run([this] {
    TableUpdate update;
    update.table = "shared";
    update.store_up_for = seconds(7);
    this->copies.OnUpdates({update}, this->copies_clock.Now());
    this->store.Put({"t", "p", "a"}, "1");
    this->store.Put({"t", "", "b"}, std::string("\0\xff", 2));
    StoreReadRequest request;
    request.table = "t";
    request.partition = "p";
    const auto table = this->Send(request);
    ASSERT_EQ(table.rows.size(), 1U);
    EXPECT_EQ(table.rows[0].name.partition, "p");
    EXPECT_EQ(table.store_up_for, seconds(7));
    EXPECT_NE(table.store_time, Duration(0));
    const auto first = this->Send(this->Changes({0, 0}));
    ASSERT_EQ(first.rows.size(), 1U);
    EXPECT_EQ(first.rows[0].value, std::string("\0\xff", 2));
    this->store.Remove({"t", "", "b"});
    const auto second = this->Send(this->Changes(first.version));
    ASSERT_EQ(second.rows.size(), 1U);
    EXPECT_TRUE(second.rows[0].is_deleted);
  });
}

TEST_F(PeerReadsTest, SaysThatTheHistoryIsLostAndInWhichEpoch) {
  this->Run([this] {
    this->store.Put({"t", "", "a"}, "1");
    const auto copy = this->store.TakeCopy();
    const auto before = this->Send(this->Changes({0, 0}));
    this->store.Restore(copy);
    try {
      this->Send(this->Changes(before.version));
      FAIL();
    } catch (const HistoryLost& lost) {
      EXPECT_EQ(lost.Epoch(), 1U);
    }
  });
}

TEST_F(PeerReadsTest, FailsIfTheOtherHostDoesNotReachTheStoreEither) {
  this->Run([this] {
    this->store.SetDown(true);
    EXPECT_THROW(this->Send(this->Changes({0, 0})), StoreError);
    EXPECT_THROW(this->link.Send("nowhere", {}, milliseconds(100)), StoreError);
  });
}

}  // namespace
}  // namespace currantbeam
