#include <gtest/gtest.h>

#include <functional>
#include <memory>

#include "fiber_test.h"
#include "placer/account_store.h"
#include "placer/config_store.h"
#include "platform/platform.h"
#include "port_block.h"

namespace currantbeam {
namespace {

const std::uint16_t kPort = TestPort(0);
constexpr auto kTimeout = std::chrono::milliseconds(300);

/// Serves a MemoryPlatform over HTTP and injects faults: an outage, or
/// responses that are lost after the request was applied.
class FaultyPlatform : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    if (this->down) return exchange.Abort();
    auto response = HandlePlatformRequest(this->memory, exchange.Request());
    if (this->responses_to_drop > 0) {
      --this->responses_to_drop;
      return exchange.Abort();
    }
    exchange.Send(std::move(response));
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}

  MemoryPlatform memory;
  bool down = false;
  int responses_to_drop = 0;
};

/// The contract tests run on a MemoryPlatform directly and through an
/// HttpPlatform.
enum class PlatformKind { kMemory, kHttp };

class PlatformContract : public testing::TestWithParam<PlatformKind> {
 protected:
  auto Run(const std::function<void(PlatformServices&)>& test) -> void {
    if (GetParam() == PlatformKind::kMemory) {
      test(this->faulty.memory);
      return;
    }
    FiberLoop loop;
    HttpServer server(LocalServerOptions(kPort), this->faulty);
    server.Listen(loop);
    RunInFiber(loop, [&] {
      HttpPlatform platform("127.0.0.1", kPort, kTimeout);
      test(platform);
      server.StopAccepting();
    });
  }
  FaultyPlatform faulty;
};

auto MakeWrite(const std::string& operation, const std::string& key,
               std::uint64_t version, const nlohmann::json& value)
    -> TableTransaction {
  TableTransaction transaction;
  transaction.operation_id = operation;
  transaction.writes.push_back({key, version, value});
  return transaction;
}

TEST_P(PlatformContract, CommitsWithCompareAndSetAndReads) {
  this->Run([](PlatformServices& platform) {
    EXPECT_TRUE(platform.ReadRows("a/").empty());
    EXPECT_EQ(platform.Commit(MakeWrite("1", "a/x", 0, {{"v", 1}})),
              CommitOutcome::kCommitted);
    EXPECT_EQ(platform.Commit(MakeWrite("2", "a/x", 0, {{"v", 2}})),
              CommitOutcome::kConflict);
    EXPECT_EQ(platform.Commit(MakeWrite("3", "a/x", 1, {{"v", 3}})),
              CommitOutcome::kCommitted);
    platform.Commit(MakeWrite("4", "b/y", 0, nullptr));
    const auto rows = platform.ReadRows("a/");
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].version, 2U);
    EXPECT_EQ(rows[0].value.at("v"), 3);
  });
}

TEST_P(PlatformContract, CommitsARepeatedOperationOnce) {
  this->Run([](PlatformServices& platform) {
    const auto write = MakeWrite("1", "k", 0, 5);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.ReadRows("k").at(0).version, 1U);
  });
}

TEST_P(PlatformContract, WritesNothingIfACheckFails) {
  this->Run([](PlatformServices& platform) {
    auto transaction = MakeWrite("1", "k", 0, 5);
    transaction.writes.push_back({"l", 0, 6});
    transaction.checks.push_back({"term", 1});
    EXPECT_EQ(platform.Commit(transaction), CommitOutcome::kConflict);
    EXPECT_TRUE(platform.ReadRows("").empty());
  });
}

TEST_P(PlatformContract, StoresObjects) {
  this->Run([](PlatformServices& platform) {
    EXPECT_FALSE(platform.FetchObject("o").has_value());
    platform.PutObject("o", "data");
    EXPECT_EQ(platform.FetchObject("o"), "data");
  });
}

INSTANTIATE_TEST_SUITE_P(Both, PlatformContract,
                         testing::Values(PlatformKind::kMemory,
                                         PlatformKind::kHttp),
                         [](const auto& info) {
                           return info.param == PlatformKind::kMemory ? "Memory"
                                                                      : "Http";
                         });

class PlatformFaults : public testing::Test {
 protected:
  auto Run(const std::function<void(PlatformServices&)>& test) -> void {
    FiberLoop loop;
    HttpServer server(LocalServerOptions(kPort), this->faulty);
    server.Listen(loop);
    RunInFiber(loop, [&] {
      HttpPlatform platform("127.0.0.1", kPort, kTimeout);
      test(platform);
      server.StopAccepting();
    });
  }
  FaultyPlatform faulty;
};

TEST_F(PlatformFaults, OutageFailsReadsAndLeavesCommitsUnknown) {
  this->faulty.down = true;
  this->Run([](PlatformServices& platform) {
    EXPECT_THROW(platform.ReadRows(""), PlatformError);
    EXPECT_THROW(platform.ReadHosts(), PlatformError);
    EXPECT_THROW(platform.PutObject("o", ""), PlatformError);
    EXPECT_EQ(platform.Commit(MakeWrite("1", "k", 0, 1)),
              CommitOutcome::kUnknown);
  });
}

TEST_F(PlatformFaults, LostResponseIsUnknownAndTheCommitCanBeRetried) {
  this->faulty.responses_to_drop = 1;
  this->Run([](PlatformServices& platform) {
    const auto write = MakeWrite("1", "k", 0, 1);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kUnknown);
    EXPECT_EQ(platform.Commit(write), CommitOutcome::kCommitted);
    EXPECT_EQ(platform.ReadRows("k").at(0).version, 1U);
  });
}

auto MakeConfiguration(const std::string& author) -> Configuration {
  Configuration configuration;
  configuration.author = author;
  configuration.deployment = author;
  return configuration;
}

TEST_F(PlatformFaults, StoresAConfigurationOnceIfTheCommitResponseIsLost) {
  this->Run([this](PlatformServices& platform) {
    ConfigStore store(platform, "w");
    this->faulty.responses_to_drop = 0;
    ASSERT_TRUE(store.Apply(MakeConfiguration("a"), 0).stored);
    ASSERT_EQ(store.Read()->version, 1U);
    // The response to the read arrives; the one to the commit is lost.
    FaultyPlatform& faulty = this->faulty;
    class CommitResponseDropper : public PlatformServices {
     public:
      CommitResponseDropper(PlatformServices& inner, FaultyPlatform& faulty)
          : inner(inner), faulty(faulty) {}
      auto ReadRows(const std::string& prefix)
          -> std::vector<TableRow> override {
        return this->inner.ReadRows(prefix);
      }
      auto Commit(const TableTransaction& transaction)
          -> CommitOutcome override {
        if (!this->dropped) this->faulty.responses_to_drop = 1;
        this->dropped = true;
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
      bool dropped = false;
    } dropper(platform, faulty);
    ConfigStore retrying_store(dropper, "x");
    const auto result = retrying_store.Apply(MakeConfiguration("b"), 1);
    EXPECT_TRUE(result.stored);
    EXPECT_EQ(result.version, 2U);
    EXPECT_EQ(store.Read()->version, 2U);
    EXPECT_EQ(store.History().size(), 2U);
  });
}

TEST(ConfigStore, ReportsConcurrentChangesToARejectedOperator) {
  MemoryPlatform platform;
  ConfigStore first(platform, "1");
  ConfigStore second(platform, "2");
  ASSERT_TRUE(first.Apply(MakeConfiguration("ann"), 0).stored);
  ASSERT_TRUE(first.Apply(MakeConfiguration("bob"), 1).stored);
  const auto rejected = second.Apply(MakeConfiguration("cid"), 1);
  EXPECT_FALSE(rejected.stored);
  EXPECT_EQ(rejected.version, 2U);
  ASSERT_EQ(rejected.newer_changes.size(), 1U);
  EXPECT_EQ(rejected.newer_changes[0].author, "bob");
  EXPECT_FALSE(rejected.newer_changes[0].lines.empty());
  EXPECT_EQ(second.Read()->author, "bob");
}

TEST(ConfigStore, AcknowledgedVersionNeverDecreases) {
  MemoryPlatform platform;
  ConfigStore store(platform, "1");
  const FailureDomain domain("d");
  EXPECT_TRUE(store.VersionsInForce().empty());
  EXPECT_TRUE(store.Acknowledge(domain, 3));
  EXPECT_TRUE(store.Acknowledge(domain, 2));
  EXPECT_EQ(store.VersionsInForce().at(domain), 3U);
}

TEST(AccountStore, CountsRepeatedAndReorderedTotalsOnce) {
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
  // Another placer becomes active and receives the same totals again.
  AccountStore other_store(platform, FailureDomain("d"), "v");
  other_store.Update(HostId("g"), 1, later);
  other_store.Flush();
  EXPECT_EQ(AccountStore::ReadAll(platform).Total(),
            std::chrono::milliseconds(17));
}

}  // namespace
}  // namespace currantbeam
