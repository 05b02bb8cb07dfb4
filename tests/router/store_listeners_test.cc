#include "router/store_listeners.h"

#include <gtest/gtest.h>

#include "router/make_entry.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rows of the backends table hold the sequence of the entry.
class FakeSchema : public StoreSchema {
 public:
  [[nodiscard]] auto RoutesTable() const -> std::string override {
    return "routes";
  }
  [[nodiscard]] auto BackendsTable() const -> std::string override {
    return "backends";
  }
  [[nodiscard]] auto DecodeRoutes(const StoreRow& /*row*/) const
      -> std::optional<RouteConfig> override {
    return std::nullopt;
  }
  [[nodiscard]] auto DecodeBackend(const StoreRow& row) const
      -> BackendEntry override {
    auto entry = MakeEntry(row.name.key, 1);
    entry.sequence = std::stoull(row.value);
    return entry;
  }
};

/// A host that receives the table from the coordinator, so that it never finds
/// the store unreachable.
class RestoredTableTest : public testing::Test {
 protected:
  auto Row(const std::string& key, const std::string& sequence) -> StoreRow {
    return {{"backends", "", key}, sequence, 1, false};
  }
  auto Leave(const std::string& key, const std::string& sequence) -> void {
    this->listener.OnRow(this->Row(key, sequence));
    this->listener.OnRemoved(key);
  }
  auto Restore(const std::string& key, const std::string& sequence) -> void {
    this->listener.OnRollback();
    this->listener.OnRow(this->Row(key, sequence));
    this->listener.OnSynced();
  }
  auto IsKnown(const std::string& id) -> bool {
    return this->directory.Find(ServerId(id)) != nullptr;
  }
  auto Advance(Duration duration) -> void {
    this->clock.Advance(duration);
    this->directory.ApplyTimeouts();
  }

  ManualClock clock;
  FakeSchema schema;
  BackendDirectory directory{this->clock};
  BackendsListener listener{this->schema, this->directory};
};

TEST_F(RestoredTableTest, KeepsAServerThatIsMissingUntilItWritesAgain) {
  this->listener.OnRow(this->Row("joined", "1"));
  this->listener.OnRow(this->Row("crashed", "1"));
  this->listener.OnRollback();
  this->listener.OnRemoved("joined");
  this->listener.OnRemoved("crashed");
  this->listener.OnSynced();
  this->Advance(milliseconds(1900));
  EXPECT_TRUE(this->IsKnown("joined"));
  EXPECT_TRUE(this->IsKnown("crashed"));
  this->listener.OnRow(this->Row("joined", "2"));
  this->Advance(seconds(1));
  EXPECT_TRUE(this->IsKnown("joined"));
  EXPECT_FALSE(this->IsKnown("crashed"));
}

TEST_F(RestoredTableTest, DoesNotBringBackAServerThatHasLeft) {
  this->Leave("a", "7");
  this->Restore("a", "7");
  EXPECT_FALSE(this->IsKnown("a"));
  this->Restore("a", "4");
  EXPECT_FALSE(this->IsKnown("a"));
  // Heartbeats that change nothing else are not reported as changes.
  this->Restore("a", "9");
  EXPECT_FALSE(this->IsKnown("a"));
  this->listener.OnRemoved("a");
  this->Advance(seconds(20));
  EXPECT_FALSE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, UsesAServerAtOnceThatWritesAfterTheRestore) {
  this->Leave("a", "7");
  this->Restore("a", "4");
  this->listener.OnRow(this->Row("a", "8"));
  EXPECT_TRUE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, UsesAnUnchangedServerAtOnceWithoutARestore) {
  this->Leave("a", "7");
  this->listener.OnRow(this->Row("a", "7"));
  EXPECT_TRUE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, UsesARestoredServerThatStaysInTheStore) {
  this->Leave("a", "7");
  this->Restore("a", "7");
  this->Advance(seconds(11));
  EXPECT_TRUE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, RemembersRemovedServersForALimitedTime) {
  this->Leave("a", "7");
  this->Advance(seconds(45));
  this->Restore("a", "7");
  EXPECT_FALSE(this->IsKnown("a"));
  this->listener.OnRemoved("a");
  this->Advance(seconds(45));
  this->Restore("a", "7");
  EXPECT_TRUE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, RemembersServersRemovedAfterTheGracePeriod) {
  this->listener.OnRow(this->Row("a", "7"));
  this->listener.OnRollback();
  this->listener.OnRemoved("a");
  this->listener.OnSynced();
  this->Advance(seconds(3));
  this->Restore("a", "7");
  EXPECT_FALSE(this->IsKnown("a"));
}

TEST_F(RestoredTableTest, KeepsAMissingServerLongerAfterAnotherRestore) {
  this->listener.OnRow(this->Row("joined", "1"));
  this->listener.OnRollback();
  this->listener.OnRemoved("joined");
  this->listener.OnSynced();
  this->Advance(milliseconds(2000));
  this->listener.OnRollback();
  this->listener.OnSynced();
  this->Advance(milliseconds(2000));
  EXPECT_TRUE(this->IsKnown("joined"));
  this->Advance(milliseconds(300));
  EXPECT_FALSE(this->IsKnown("joined"));
}

}  // namespace
}  // namespace currantbeam
