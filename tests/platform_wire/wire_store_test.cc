#include "standins/wire/wire_store.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

#include "fiber_test.h"
#include "port_block.h"

namespace currantbeam {
namespace {

const std::uint16_t kPort = TestPort(0);
constexpr auto kCallTimeout = std::chrono::milliseconds(2000);
/// Longer than the test runs: the copy is that of the empty store.
const char* const kRestoreEmpty = "/standin/restore?seconds=20";

/// A client that speaks the store's wire protocol as it is.
class RawClient {
 public:
  auto Get(const std::string& target) -> HttpResponse {
    return this->Call(HttpRequest{http::verb::get, target, 11});
  }
  /// Writes one row.
  /// @param expected_version  that the row must have; negative if any will do.
  auto Put(const std::string& table, const std::string& key,
           const std::string& value, int expected_version = -1)
      -> HttpResponse {
    const nlohmann::json name = {{"table", table}, {"part", ""}, {"key", key}};
    auto put = name;
    put["value"] = websocketpp::base64_encode(value);
    auto expected = nlohmann::json::array();
    if (expected_version >= 0) {
      expected.push_back(name);
      expected.back()["ver"] = expected_version;
    }
    HttpRequest request{http::verb::post, "/rows-tx", 11};
    request.body() = nlohmann::json{{"expect", expected},
                                    {"puts", {put}},
                                    {"remove", nlohmann::json::array()}}
                         .dump();
    request.prepare_payload();
    return this->Call(std::move(request));
  }
  /// @return the current rows of a table as KEY=VALUE@VERSION, separated by
  ///   spaces.
  auto Rows(const std::string& table) -> std::string {
    const auto response = this->Get("/rows-get?table=" + table);
    std::string text;
    const auto json = nlohmann::json::parse(response.body());
    for (const auto& row : json.at("rows")) {
      const auto value = row.at("value").get<std::string>();
      text += (text.empty() ? "" : " ") + row.at("key").get<std::string>() +
              "=" + websocketpp::base64_decode(value) + "@" +
              std::to_string(row.at("ver").get<int>());
    }
    return text;
  }

 private:
  static auto Call(HttpRequest request) -> HttpResponse {
    return Fetch("127.0.0.1", kPort, std::move(request), kCallTimeout);
  }
};

auto EpochOf(const HttpResponse& response) -> int {
  const std::string text(response["Store-Era"]);
  return text.empty() ? -1 : std::stoi(text);
}

auto VersionOf(const HttpResponse& response) -> int {
  return nlohmann::json::parse(response.body()).at("ver").get<int>();
}

class WireStoreTest : public testing::Test {
 protected:
  auto Run(const std::function<void()>& body) -> void {
    FiberLoop loop;
    HttpServer server(LocalServerOptions(kPort), this->store);
    server.Listen(loop);
    RunInFiber(loop, [&] {
      body();
      server.StopAccepting();
    });
  }

  WireStore store;
  RawClient client;
};

TEST_F(WireStoreTest, EachResponseHasTheEpoch) {
  this->Run([&] {
    const auto expect_all = [&](int epoch) {
      const auto written = this->client.Put("t", "a", "1");
      EXPECT_EQ(written.result(), http::status::ok);
      EXPECT_EQ(EpochOf(written), epoch);
      const auto conflict = this->client.Put("t", "a", "2", 999);
      EXPECT_EQ(conflict.result(), http::status::precondition_failed);
      EXPECT_EQ(EpochOf(conflict), epoch);
      EXPECT_EQ(EpochOf(this->client.Get("/rows-get?table=t")), epoch);
      EXPECT_EQ(EpochOf(this->client.Get("/rows-feed?table=t&after=0")), epoch);
      EXPECT_EQ(EpochOf(this->client.Get("/no-such-call")), epoch);
      const auto gone = this->client.Get("/rows-feed?table=t&after=999");
      EXPECT_EQ(gone.result(), http::status::gone);
      EXPECT_EQ(EpochOf(gone), epoch);
      this->store.SetUnavailable(true);
      const auto unavailable = this->client.Get("/rows-get?table=t");
      EXPECT_EQ(unavailable.result(), http::status::service_unavailable);
      EXPECT_EQ(EpochOf(unavailable), epoch);
      this->store.SetUnavailable(false);
    };
    const int epoch = EpochOf(this->client.Get("/rows-get?table=t"));
    expect_all(epoch);
    EXPECT_EQ(EpochOf(this->client.Get(kRestoreEmpty)), epoch + 1);
    expect_all(epoch + 1);
    this->client.Get(kRestoreEmpty);
    expect_all(epoch + 2);
  });
}

TEST_F(WireStoreTest, RestoreTakesBackAcknowledgedWritesAndTheirVersions) {
  this->Run([&] {
    this->client.Put("t", "a", "1");
    const auto copy = this->store.TakeCopy();
    const int lost = VersionOf(this->client.Put("t", "a", "2"));
    this->store.Restore(copy, Duration(0));
    EXPECT_EQ(this->client.Rows("t"), "a=1@" + std::to_string(lost - 1));
    const auto feed = "/rows-feed?table=t&after=" + std::to_string(lost);
    EXPECT_EQ(this->client.Get(feed).result(), http::status::gone);
    EXPECT_EQ(VersionOf(this->client.Put("t", "b", "3")), lost);
    EXPECT_EQ(this->client.Get(feed).result(), http::status::ok);
  });
}

TEST_F(WireStoreTest, RowsOfTheOperatorAndTheServersAreWrittenAgain) {
  this->Run([&] {
    this->store.Put({"servers", "", "s1"}, "old");
    this->store.Put({"servers", "", "s2"}, "old");
    const auto copy = this->store.TakeCopy();
    this->store.Remove({"servers", "", "s1"});
    this->store.Put({"op", "", "config"}, "new");
    this->client.Put("owners", "keyed", "lost");
    this->store.Restore(copy, std::chrono::hours(1));
    EXPECT_EQ(this->client.Rows("servers"), "s1=old@1 s2=old@2");
    EXPECT_EQ(this->client.Rows("op"), "");
    this->store.Restore(copy, Duration(0));
    EXPECT_EQ(this->client.Rows("servers"), "s2=old@2");
    EXPECT_EQ(this->client.Rows("op"), "config=new@4");
    EXPECT_EQ(this->client.Rows("owners"), "");
  });
}

TEST_F(WireStoreTest, ANewerRowIsNotReplacedByTheLostOne) {
  this->Run([&] {
    const auto copy = this->store.TakeCopy();
    this->store.Put({"op", "", "config"}, "lost");
    this->store.Restore(copy, std::chrono::hours(1));
    this->store.Put({"op", "", "config"}, "newer");
    this->store.Restore(this->store.TakeCopy(), Duration(0));
    EXPECT_EQ(this->client.Rows("op"), "config=newer@1");
  });
}

TEST_F(WireStoreTest, TheStoreIsDownUntilItIsRestored) {
  this->Run([&] {
    this->client.Put("t", "a", "1");
    const int epoch = EpochOf(this->client.Get("/rows-get?table=t"));
    this->client.Get(std::string(kRestoreEmpty) + "&downMs=600000");
    const auto response = this->client.Put("t", "a", "2");
    EXPECT_EQ(response.result(), http::status::service_unavailable);
    EXPECT_EQ(EpochOf(response), epoch);
    EXPECT_EQ(this->store.Find({"t", "", "a"})->value, "1");
  });
}

TEST(StoreBackup, RestoresWhatTheStoreHeldAtThatTime) {
  ManualClock clock;
  MemoryStore store(clock);
  StoreBackup backup(store, clock, {"op"});
  std::vector<TimePoint> written_at;
  for (int i = 0; i < 10; ++i) {
    clock.Advance(std::chrono::seconds(1));
    backup.BeforeWrite();
    store.Put({"t", "", "a"}, std::to_string(i));
    written_at.push_back(clock.Now());
  }
  const auto shortly = std::chrono::milliseconds(500);
  for (const int i : {8, 5, 2}) {
    backup.RestoreTo(written_at[i] + shortly, Duration(0));
    EXPECT_EQ(store.Find({"t", "", "a"})->value, std::to_string(i));
  }
  // What was taken back does not come back.
  backup.RestoreTo(written_at[8] + shortly, Duration(0));
  EXPECT_EQ(store.Find({"t", "", "a"})->value, "2");
}

TEST(StoreBackup, WritesLostRowsAgainAfterTheDelay) {
  constexpr auto kDelay = std::chrono::milliseconds(700);
  ManualClock clock;
  MemoryStore store(clock);
  StoreBackup backup(store, clock, {"op"});
  const auto copy = store.TakeCopy();
  store.Put({"op", "", "b"}, "1");
  store.Put({"op", "", "a"}, "2");
  store.Put({"t", "", "a"}, "3");
  backup.Restore(copy, kDelay);
  clock.Advance(kDelay - std::chrono::milliseconds(1));
  backup.RewriteIfDue();
  EXPECT_FALSE(store.Find({"op", "", "b"}).has_value());
  clock.Advance(std::chrono::milliseconds(1));
  backup.RewriteIfDue();
  EXPECT_EQ(store.Find({"op", "", "b"})->version.number, 1U);
  EXPECT_EQ(store.Find({"op", "", "a"})->version.number, 2U);
  EXPECT_FALSE(store.Find({"t", "", "a"}).has_value());
}

}  // namespace
}  // namespace currantbeam
