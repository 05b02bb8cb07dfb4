#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <functional>
#include <map>

#include "store/recording_store.h"
#include "store/store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const char* const kTable = "t";

/// Lets the test's clock pass instead of waiting.
class UnwaitingStore : public RelayedStore {
 public:
  UnwaitingStore(StoreClient& store, ManualClock& clock)
      : RelayedStore(store, clock, {kTable}), clock(clock) {}

  /// What else happens whenever something is waited for.
  std::function<void()> meanwhile = [] {};

 protected:
  auto AwaitNews(const std::string& /*table*/, Duration longest)
      -> void override {
    this->meanwhile();
    this->clock.Advance(longest);
  }

 private:
  ManualClock& clock;
};

/// Keeps what it is told. No row may ever go back, nor be taken away while it
/// is in the store as it was told.
class Recorder : public TableListener {
 public:
  explicit Recorder(const MemoryStore& memory) : memory(memory) {}

  auto OnRow(const StoreRow& row) -> void override {
    auto& last = this->versions[row.name.key];
    this->has_gone_back |= row.version < last;
    last = row.version;
    this->rows[row.name.key] = row.value;
  }
  auto OnRemoved(const std::string& key) -> void override {
    const auto stored = this->memory.Find({kTable, "", key});
    this->has_gone_back |= stored && stored->version == this->versions[key];
    this->rows.erase(key);
  }
  auto OnCurrent() -> void override {}
  auto OnReachable(bool /*reachable*/) -> void override {}

  std::map<std::string, std::string> rows;
  std::map<std::string, StoreVersion> versions;
  bool has_gone_back = false;

 private:
  const MemoryStore& memory;
};

/// One host that follows the table.
struct Host {
  Host(MemoryStore& memory, ManualClock& clock)
      : direct(memory), store(direct, clock), recorder(memory) {}

  auto Step() -> void { this->follower.Step(); }
  /// Reports to the leading host, as all hosts do every half second.
  auto Hear(const Host& leader, const Clock& clock) -> void {
    auto news = leader.store.NewsSince(this->store.Versions());
    for (auto& one : news) one = TableUpdate::Decode(one.Encode());
    this->store.OnNews(std::move(news), clock.Now());
  }

  RecordingStore direct;
  UnwaitingStore store;
  Recorder recorder;
  TableFollower follower{store, Options(), recorder};

 private:
  static auto Options() -> FollowOptions {
    FollowOptions options;
    options.table = kTable;
    return options;
  }
};

class RelayedStoreTest : public testing::Test {
 protected:
  RelayedStoreTest() { this->leader.store.SetLeading(true); }

  ManualClock clock;
  MemoryStore memory{this->clock};
  Host leader{this->memory, this->clock};
  Host other{this->memory, this->clock};
};

TEST_F(RelayedStoreTest, TellsATableWithoutTheOtherHostAskingTheStore) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  this->memory.Put({kTable, "", "b"}, std::string("\0\xff", 2));
  this->memory.Remove({kTable, "", "a"});
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.direct.reads, 0);
}

TEST_F(RelayedStoreTest, AsksTheStoreOnceTheLeaderIsSilentForTooLong) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  this->memory.Put({kTable, "", "a"}, "2");
  const auto silent_since = this->clock.Now();
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
  EXPECT_EQ(this->other.direct.reads, 1);
  // A change has to be in force two seconds after it was made.
  EXPECT_LT(this->clock.Now() - silent_since, milliseconds(1500));
}

TEST_F(RelayedStoreTest, AsksTheStoreWhereTheLeaderHasLostIt) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  const auto cut_at = this->clock.Now();
  this->memory.Put({kTable, "", "a"}, "2");
  // The leader answers reports, and hears nothing of the store.
  for (int i = 0; i < 4 && this->other.direct.reads == 0; ++i) {
    this->clock.Advance(milliseconds(500));
    this->other.Hear(this->leader, this->clock);
  }
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
  EXPECT_LE(this->clock.Now() - cut_at, milliseconds(2000));
}

TEST_F(RelayedStoreTest,
       RemembersDeletionsForAWhileAndTellsTheWholeTableAfter) {
  this->memory.Put({kTable, "", "kept"}, "1");
  this->memory.Put({kTable, "", "dropped"}, "1");
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  const auto known = this->other.store.Versions();
  this->memory.Remove({kTable, "", "dropped"});
  for (int i = 0; i < 1000; ++i) {
    const RowName name = {kTable, "", "passing-" + std::to_string(i)};
    this->memory.Put(name, "1");
    this->memory.Remove(name);
    this->leader.Step();
  }
  const auto news = this->leader.store.NewsSince(known);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_TRUE(news[0].is_whole);
  EXPECT_EQ(news[0].rows.size(), 1U);
  // A host that is only a little behind is told of few rows.
  auto recent = this->leader.store.Versions();
  recent.at(kTable) -= 10;
  EXPECT_FALSE(this->leader.store.NewsSince(recent)[0].is_whole);
  this->other.Hear(this->leader, this->clock);
  for (int i = 0; i < 3; ++i) this->other.Step();
  EXPECT_EQ(this->other.recorder.rows, this->leader.recorder.rows);
  EXPECT_EQ(this->other.recorder.rows.size(), 1U);
}

TEST_F(RelayedStoreTest, TakesNoTableFromALeaderThatHasLostTheStore) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Step();
  this->clock.Advance(std::chrono::seconds(3));
  this->memory.Put({kTable, "", "b"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "c"}, "1");
  this->memory.DropHistory();
  this->other.Step();
  // The history is lost, so that the whole table is asked for.
  this->other.store.meanwhile = [&] {
    this->other.Hear(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_gone_back);
  EXPECT_EQ(this->other.recorder.rows.size(), 3U);
}

TEST_F(RelayedStoreTest, TakesNoTableOlderThanWhatItKnew) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Step();
  this->memory.Put({kTable, "", "b"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "c"}, "1");
  this->memory.DropHistory();
  this->other.Step();
  // The history is lost, so that the whole table is asked for.
  this->other.store.meanwhile = [&] {
    this->other.Hear(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_gone_back);
  EXPECT_EQ(this->other.recorder.rows.size(), 3U);
}

TEST_F(RelayedStoreTest, StartsFromTheStoreIfTheLeaderHasLostIt) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->clock.Advance(std::chrono::seconds(3));
  this->memory.Put({kTable, "", "a"}, "2");
  this->other.store.meanwhile = [&] {
    this->other.Hear(this->leader, this->clock);
  };
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "2");
}

TEST_F(RelayedStoreTest, TellsAHostThatKnowsNothingTheWholeTable) {
  // The leader has known the table since it was empty.
  this->leader.Step();
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  this->other.Hear(this->leader, this->clock);
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.size(), 1U);
  EXPECT_EQ(this->other.direct.reads, 0);
}

TEST_F(RelayedStoreTest, ForgetsATableHeardBeforeTheStoreToldMore) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "b"}, "1");
  this->leader.Step();
  // The leader knows nothing of changes before it started.
  this->other.Hear(this->leader, this->clock);
  this->memory.Put({kTable, "", "c"}, "1");
  this->other.Step();
  this->memory.Put({kTable, "", "d"}, "1");
  this->memory.DropHistory();
  for (int i = 0; i < 2; ++i) this->other.Step();
  EXPECT_FALSE(this->other.recorder.has_gone_back);
  EXPECT_EQ(this->other.recorder.rows.size(), 4U);
}

TEST_F(RelayedStoreTest, StartsFromTheStoreIfNobodyLeads) {
  this->memory.Put({kTable, "", "a"}, "1");
  this->other.Step();
  EXPECT_EQ(this->other.recorder.rows.at("a"), "1");
}

TEST_F(RelayedStoreTest, RefusesWhatIsNoNews) {
  EXPECT_THROW(TableUpdate::Decode(""), InputError);
  EXPECT_THROW(TableUpdate::Decode("x"), InputError);
  this->memory.Put({kTable, "", "a"}, "1");
  this->leader.Step();
  const auto text = this->leader.store.NewsSince({{kTable, 0}})[0].Encode();
  for (std::size_t length = 0; length < text.size(); ++length) {
    EXPECT_THROW(TableUpdate::Decode(text.substr(0, length)), InputError);
  }
}

TEST(RelayedStore, AgreesWithTheStoreAfterAnyHistory) {
  EXPECT_TRUE(
      rc::check("both hosts know what is stored, and nothing goes back", [] {
        ManualClock clock;
        MemoryStore memory(clock);
        std::array<Host, 2> hosts = {Host(memory, clock), Host(memory, clock)};
        int leading = 0;
        hosts[leading].store.SetLeading(true);
        // Version 0 is that of a store that was never written to; it stands for
        // a table that is not known.
        memory.Put({kTable, "", "first"}, "1");
        std::map<std::string, std::string> expected = {{"first", "1"}};
        int writes = 0;
        const auto steps =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
        for (const auto& [what, which] : steps) {
          const auto key = std::to_string(which);
          auto& other = hosts[1 - leading];
          if (what <= 1) {
            memory.Put({kTable, "", key}, std::to_string(++writes));
            expected[key] = std::to_string(writes);
          }
          if (what == 2) {
            memory.Remove({kTable, "", key});
            expected.erase(key);
          }
          if (what == 3) memory.DropHistory();
          if (what == 4) memory.SetDown(which == 0);
          if (what == 5) hosts[leading].Step();
          if (what == 6) other.Hear(hosts[leading], clock);
          if (what == 7) other.Step();
          if (what == 8) clock.Advance(milliseconds(400 * which));
          if (what == 9 && which == 0) {
            hosts[leading].store.SetLeading(false);
            leading = 1 - leading;
            hosts[leading].store.SetLeading(true);
          }
        }
        memory.SetDown(false);
        const auto check = [&] {
          for (const auto& host : hosts) {
            RC_ASSERT(host.recorder.rows == expected);
            RC_ASSERT(!host.recorder.has_gone_back);
          }
        };
        auto& leader = hosts[leading];
        auto& other = hosts[1 - leading];
        for (int i = 0; i < 3; ++i) leader.Step();
        other.Hear(leader, clock);
        for (int i = 0; i < 3; ++i) other.Step();
        check();
        // What comes now is heard without the store, which would hide that
        // something is missing.
        memory.Put({kTable, "", "last"}, "1");
        memory.Remove({kTable, "", "0"});
        expected["last"] = "1";
        expected.erase("0");
        leader.Step();
        other.Hear(leader, clock);
        const int reads = other.direct.reads;
        other.Step();
        RC_ASSERT(other.direct.reads == reads);
        check();
      }));
}

}  // namespace
}  // namespace currantbeam
