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
