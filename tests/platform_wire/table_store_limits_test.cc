#include <gtest/gtest.h>

#include "fiber_test.h"
#include "platform_wire/scripted_server.h"
#include "port_block.h"
#include "table_store_client.h"

namespace currantbeam {
namespace {

constexpr std::size_t kMaxSentBytes = 128 * 1024 * 1024;
constexpr const char* kRow = R"({"key":"a","ver":1,"value":"eA=="})";

/// A store that answers every call with one response, whose body is the prefix
/// and then one part again and again.
class EndlessStore {
 public:
  EndlessStore(std::string prefix, std::string part)
      : prefix(std::move(prefix)),
        part(std::move(part)),
        server(Port(), [this](auto& connection) { this->Serve(connection); }) {}

  /// Calls the store until the client closes the connection.
  /// @return whether it did so before kMaxSentBytes were sent.
  auto IsCutBy(const std::function<void(TableStoreClient&)>& call) -> bool {
    FiberLoop loop;
    RunInFiber(loop, [&] {
      this->server.Listen();
      TableStoreClient client({"127.0.0.1", Port()});
      call(client);
    });
    return this->sent < kMaxSentBytes;
  }

 private:
  static auto Port() -> std::uint16_t { return TestPort(21); }

  auto Serve(ScriptedConnection& connection) -> void {
    if (!connection.ReadRequest()) return;
    connection.Write("HTTP/1.1 200 OK\r\n\r\n" + this->prefix);
    while (this->sent < kMaxSentBytes && connection.Write(this->part)) {
      this->sent += this->part.size();
    }
  }

  std::string prefix;
  std::string part;
  std::size_t sent = 0;
  ScriptedServer server;
};

auto ManyRows() -> std::string {
  std::string rows;
  for (int i = 0; i < 1000; ++i) rows += std::string(kRow) + ",";
  return rows;
}

// Each host reads the store; all would exceed their memory at once.
TEST(TableStoreLimits, AnEndlessPageIsAFailedRead) {
  EndlessStore store(R"({"ver":1,"nowS":1,"rows":[)", ManyRows());
  EXPECT_TRUE(store.IsCutBy(
      [](auto& client) { EXPECT_THROW(client.Read("op", ""), StoreError); }));
}

// The change feed has no pages, unlike the table.
TEST(TableStoreLimits, AfterAnEndlessFeedTheTableIsReadInPages) {
  EndlessStore store(R"({"ver":1,"nowS":1,"rows":[)", ManyRows());
  EXPECT_TRUE(store.IsCutBy([](auto& client) {
    EXPECT_THROW(client.Follow("op", {0, 1}, std::chrono::milliseconds(0)),
                 HistoryLost);
  }));
}

TEST(TableStoreLimits, AnEndlessResponseToAWriteLeavesItsOutcomeUnknown) {
  EndlessStore store("", ManyRows());
  EXPECT_TRUE(store.IsCutBy([](auto& client) {
    EXPECT_EQ(client.Write({}).outcome, WriteOutcome::kUnknown);
  }));
}

/// Answers each call with the same page, which says that more rows follow.
auto RepeatPage(ScriptedConnection& connection, int& pages) -> void {
  const auto page = R"({"ver":1,"nowS":1,"truncated":true,"rows":[)" +
                    std::string(kRow) + "]}";
  while (connection.ReadRequest()) {
    ++pages;
    connection.Write("HTTP/1.1 " +
                     std::string(pages < 1000 ? "200 OK" : "500 Enough") +
                     "\r\nContent-Length: " + std::to_string(page.size()) +
                     "\r\n\r\n" + page);
  }
}

TEST(TableStoreLimits, ATableWhosePagesRepeatIsAFailedRead) {
  int pages = 0;
  ScriptedServer server(
      TestPort(22), [&](auto& connection) { RepeatPage(connection, pages); });
  FiberLoop loop;
  RunInFiber(loop, [&] {
    server.Listen();
    TableStoreClient client({"127.0.0.1", TestPort(22)});
    EXPECT_THROW(client.Read("op", ""), StoreError);
  });
  EXPECT_EQ(pages, 2);
}

// The time went into an integer that can't hold it.
TEST(TableStoreLimits, AMalformedPageIsAFailedRead) {
  for (const std::string body :
       {R"({"ver":1,"nowS":1e300,"rows":[]})", R"({"ver":1,"rows":[]})",
        R"({"ver":"1","nowS":1,"rows":[]})", R"({"ver":1,"nowS":1,"rows":[7]})",
        R"({"ver":1,"nowS":1,"rows":[{"key":7,"ver":1,"value":""}]})",
        "{\"ver\":1,\"nowS\":1,\"rows\":[{\"key\":\"\xe9\",\"ver\":1}]}", "[]",
        "\xe9", ""}) {
    ScriptedServer server(TestPort(25), [&](auto& connection) {
      while (connection.ReadRequest()) {
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
      }
    });
    FiberLoop loop;
    RunInFiber(loop, [&] {
      server.Listen();
      TableStoreClient client({"127.0.0.1", TestPort(25)});
      EXPECT_THROW(client.Read("op", ""), StoreError) << body;
    });
  }
}

}  // namespace
}  // namespace currantbeam
