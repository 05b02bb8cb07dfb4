#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "fiber_test.h"
#include "placer/account_store.h"
#include "placer/config_store.h"
#include "platform/platform.h"

namespace currantbeam {
namespace {

constexpr std::uint16_t kPort = 27101;
constexpr auto kTimeout = std::chrono::milliseconds(300);

/// Serves a MemoryPlatform, with faults.
class FaultyPlatform : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    if (this->down) return exchange.Abort();
    auto response = AnswerPlatformRequest(this->memory, exchange.Request());
    if (this->lose_answers > 0) {
      --this->lose_answers;
      return exchange.Abort();
    }
    exchange.Send(std::move(response));
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}

  MemoryPlatform memory;
  bool down = false;
  int lose_answers = 0;
};

/// The contract is run on the fake itself and on the client of the wire form.
enum class Kind { kMemory, kHttp };

class PlatformContract : public testing::TestWithParam<Kind> {
 protected:
  auto Run(const std::function<void(PlatformServices&)>& body) -> void {
    if (GetParam() == Kind::kMemory) {
      body(this->faulty.memory);
      return;
    }
    FiberLoop loop;
    HttpServer server(LocalServerOptions(kPort), this->faulty);
    server.Listen(loop);
    RunInFiber(loop, [&] {
      HttpPlatform platform("127.0.0.1", kPort, kTimeout);
      body(platform);
      server.StopAccepting();
    });
  }
  FaultyPlatform faulty;
};

auto Write(const std::string& operation, const std::string& key,
           std::uint64_t version, const nlohmann::json& value)
    -> TableTransaction {
  TableTransaction transaction;
  transaction.operation_id = operation;
  transaction.writes.push_back({key, version, value});
  return transaction;
}

TEST_P(PlatformContract, CommitsComparesAndReads) {
  this->Run([](PlatformServices& platform) {
    EXPECT_TRUE(platform.ReadRows("a/").empty());
    EXPECT_EQ(platform.Commit(Write("1", "a/x", 0, {{"v", 1}})),
              CommitOutcome::kCommitted);
    EXPECT_EQ(platform.Commit(Write("2", "a/x", 0, {{"v", 2}})),
              CommitOutcome::kConflict);
    EXPECT_EQ(platform.Commit(Write("3", "a/x", 1, {{"v", 3}})),
              CommitOutcome::kCommitted);
    platform.Commit(Write("4", "b/y", 0, nullptr));
    const auto rows = platform.ReadRows("a/");
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].version, 2U);
    EXPECT_EQ(rows[0].value.at("v"), 3);
  });
}

TEST_P(PlatformContract, RepeatedOperationIsWrittenOnce) {
  this->Run([](PlatformServices& platform) {
    const auto write = Write("1", "k", 0, 5);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.ReadRows("k").at(0).version, 1U);
  });
}

TEST_P(PlatformContract, FailedCheckWritesNothing) {
  this->Run([](PlatformServices& platform) {
    auto transaction = Write("1", "k", 0, 5);
    transaction.writes.push_back({"l", 0, 6});
    transaction.checks.push_back({"term", 1});
    EXPECT_EQ(platform.Commit(transaction), CommitOutcome::kConflict);
    EXPECT_TRUE(platform.ReadRows("").empty());
  });
}

TEST_P(PlatformContract, KeepsObjects) {
  this->Run([](PlatformServices& platform) {
    EXPECT_FALSE(platform.FetchObject("o").has_value());
    platform.PutObject("o", "data");
    EXPECT_EQ(platform.FetchObject("o"), "data");
  });
}

INSTANTIATE_TEST_SUITE_P(Both, PlatformContract,
                         testing::Values(Kind::kMemory, Kind::kHttp),
                         [](const auto& info) {
                           return info.param == Kind::kMemory ? "Memory"
                                                              : "Http";
                         });

class PlatformFaults : public testing::Test {
 protected:
  auto Run(const std::function<void(PlatformServices&)>& body) -> void {
    FiberLoop loop;
    HttpServer server(LocalServerOptions(kPort), this->faulty);
    server.Listen(loop);
    RunInFiber(loop, [&] {
      HttpPlatform platform("127.0.0.1", kPort, kTimeout);
      body(platform);
      server.StopAccepting();
    });
  }
  FaultyPlatform faulty;
};

TEST_F(PlatformFaults, OutageIsAnErrorForReadsAndUnknownForCommits) {
  this->faulty.down = true;
  this->Run([](PlatformServices& platform) {
    EXPECT_THROW(platform.ReadRows(""), PlatformError);
    EXPECT_THROW(platform.ReadHosts(), PlatformError);
    EXPECT_THROW(platform.PutObject("o", ""), PlatformError);
    EXPECT_EQ(platform.Commit(Write("1", "k", 0, 1)), CommitOutcome::kUnknown);
  });
}

TEST_F(PlatformFaults, LostAnswerIsUnknownAndCanBeAskedAgain) {
  this->faulty.lose_answers = 1;
  this->Run([](PlatformServices& platform) {
    const auto write = Write("1", "k", 0, 1);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kUnknown);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.ReadRows("k").at(0).version, 1U);
  });
}

auto SomeConfiguration(const std::string& author) -> Configuration {
  Configuration configuration;
  configuration.author = author;
  configuration.deployment = author;
  return configuration;
}

TEST_F(PlatformFaults, ConfigurationIsStoredOnceThoughTheAnswerWasLost) {
  this->Run([this](PlatformServices& platform) {
    ConfigStore store(platform, "w");
    this->faulty.lose_answers = 0;
    ASSERT_TRUE(store.Apply(SomeConfiguration("a"), 0).stored);
    ASSERT_EQ(store.Read()->version, 1U);
    // The answer to the read gets through, that to the commit is lost.
    FaultyPlatform& faulty = this->faulty;
    class LoseCommit : public PlatformServices {
     public:
      LoseCommit(PlatformServices& inner, FaultyPlatform& faulty)
          : inner(inner), faulty(faulty) {}
      auto ReadRows(const std::string& prefix)
          -> std::vector<TableRow> override {
        return this->inner.ReadRows(prefix);
      }
      auto Commit(const TableTransaction& transaction)
          -> CommitOutcome override {
        if (!this->lost) this->faulty.lose_answers = 1;
        this->lost = true;
        return this->inner.Commit(transaction);
      }
      auto ReadHosts() -> HostList override { return {}; }
      auto PutObject(const std::string&, const std::string&) -> void override {}
      auto FetchObject(const std::string&)
          -> std::optional<std::string> override {
        return std::nullopt;
      }

     private:
      PlatformServices& inner;
      FaultyPlatform& faulty;
      bool lost = false;
    } losing(platform, faulty);
    ConfigStore unlucky(losing, "x");
    const auto result = unlucky.Apply(SomeConfiguration("b"), 1);
    EXPECT_TRUE(result.stored);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(store.Read()->version, 2U);
    EXPECT_EQ(store.History().size(), 2U);
  });
}

TEST(ConfigStore, RacingOperatorsAreToldWhoChangedWhat) {
  MemoryPlatform platform;
  ConfigStore first(platform, "1");
  ConfigStore second(platform, "2");
  ASSERT_TRUE(first.Apply(SomeConfiguration("ann"), 0).stored);
  ASSERT_TRUE(first.Apply(SomeConfiguration("bob"), 1).stored);
  const auto refused = second.Apply(SomeConfiguration("cid"), 1);
  EXPECT_FALSE(refused.stored);
  EXPECT_EQ(refused.version, 2U);
  ASSERT_EQ(refused.since.size(), 1U);
  EXPECT_EQ(refused.since[0].author, "bob");
  EXPECT_FALSE(refused.since[0].lines.empty());
  EXPECT_EQ(second.Read()->author, "bob");
}

TEST(ConfigStore, AcknowledgementNeverGoesBack) {
  MemoryPlatform platform;
  ConfigStore store(platform, "1");
  const FailureDomain domain("d");
  EXPECT_TRUE(store.InForce().empty());
  EXPECT_TRUE(store.Acknowledge(domain, 3));
  EXPECT_TRUE(store.Acknowledge(domain, 2));
  EXPECT_EQ(store.InForce().at(domain), 3U);
}

TEST(AccountStore, RepeatedAndOvertakenTotalsCountOnce) {
  MemoryPlatform platform;
  Account account;
  const AccountKey key{NeighbourName("n"), ClassName("c"), ServerId("s")};
  account.Add(key, std::chrono::milliseconds(5));
  AccountStore store(platform, FailureDomain("d"), "w");
  store.Update(HostId("g"), 1, account);
  EXPECT_EQ(store.Flush(), 1U);
  EXPECT_EQ(store.Flush(), 0U);
  auto later = account;
  later.Add(key, std::chrono::milliseconds(7));
  store.Update(HostId("g"), 1, later);
  store.Update(HostId("g"), 1, account);
  store.Update(HostId("g"), 2, account);
  EXPECT_EQ(store.Flush(), 2U);
  // Another placer takes over and is sent the same totals again.
  AccountStore other(platform, FailureDomain("d"), "v");
  other.Update(HostId("g"), 1, later);
  other.Flush();
  EXPECT_EQ(AccountStore::ReadAll(platform).Total(),
            std::chrono::milliseconds(17));
}

}  // namespace
}  // namespace currantbeam
