#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <map>

#include "boot_settings.h"
#include "fiber_test.h"
#include "platform_schema.h"
#include "port_block.h"
#include "standins/wire/wire_store.h"
#include "table_store_client.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const std::uint16_t kStorePort = TestPort(0);
const std::uint16_t kPagedStorePort = TestPort(1);
const std::uint16_t kRestoredStorePort = TestPort(2);

const char* const kSettings =
    R"({"node":"front-1","zone":"x","ip":"10.0.0.1","portRange":[7540,7555],
        "listen":{"front":"10.0.0.1:80","ready":"10.0.0.1:81"},
        "bounds":{"graceS":6,"budgetRatio":0.2,"budgetExtra":58,"holdMaxS":5,
                  "drainS":2.5},
        "limits":{"cpuShare":0.25,"cores":2,"linkMbps":10},
        "platform":{"addr":"10.0.0.2:90"},"later":{"unknown":true}})";

auto ReplaceFirst(std::string text, const std::string& from,
                  const std::string& to) -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

TEST(BootSettings, DecodesKnownFieldsAndIgnoresOthers) {
  const auto settings = DecodeBootSettings(kSettings);
  EXPECT_EQ(settings.host, HostId("front-1"));
  EXPECT_EQ(settings.callers.port, 80);
  EXPECT_EQ(settings.peers.port, 7540);
  EXPECT_EQ(settings.stop_grace, milliseconds(6000));
  EXPECT_EQ(settings.grant_timing.ttl, milliseconds(5000));
  EXPECT_EQ(settings.drain_bound, milliseconds(2500));
  EXPECT_DOUBLE_EQ(settings.cpu_cores, 0.5);
  EXPECT_DOUBLE_EQ(settings.link_mbps, 10);
}

TEST(BootSettings, MetricsPortMatchesTheDeployFile) {
  std::ifstream file(std::string(CURRANTBEAM_SOURCE_DIR) +
                     "/deploy/system.toml");
  std::ostringstream text;
  text << file.rdbuf();
  const auto port = DecodeBootSettings(kSettings).metrics.port;
  EXPECT_NE(text.str().find("metrics = \"" + std::to_string(port) + "/"),
            std::string::npos);
}

TEST(BootSettings, ErrorsNameTheInvalidField) {
  const auto message = [](const std::string& text) -> std::string {
    try {
      DecodeBootSettings(text);
      return "no error";
    } catch (const InputError& error) {
      return error.what();
    }
  };
  const std::string valid = kSettings;
  EXPECT_NE(
      message(ReplaceFirst(valid, R"("node":"front-1",)", "")).find("'node'"),
      std::string::npos);
  EXPECT_NE(message(ReplaceFirst(valid, R"("graceS":6)", R"("graceS":"six")"))
                .find("'graceS'"),
            std::string::npos);
  EXPECT_NE(
      message(ReplaceFirst(valid, "10.0.0.2:90", "10.0.0.2")).find("10.0.0.2"),
      std::string::npos);
  EXPECT_NE(
      message(ReplaceFirst(valid, "[7540,7555]", "[]")).find("'portRange'"),
      std::string::npos);
  EXPECT_NE(message(valid.substr(0, 100)).find("not JSON"), std::string::npos);
  EXPECT_NE(message("").find("not JSON"), std::string::npos);
}

TEST(BootSettings, RejectsNumbersOutOfRange) {
  const std::string valid = kSettings;
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"[7540,7555]", "[0]"},
      {"[7540,7555]", "[65536]"},
      {"[7540,7555]", "[-1]"},
      {"[7540,7555]", "[1e300]"},
      {R"("graceS":6)", R"("graceS":1e300)"},
      {R"("holdMaxS":5)", R"("holdMaxS":-1e300)"},
      {R"("drainS":2.5)", R"("drainS":0)"},
      {"10.0.0.1:80", "10.0.0.1:65536"}};
  for (const auto& [from, to] : changes) {
    EXPECT_THROW(DecodeBootSettings(ReplaceFirst(valid, from, to)), InputError)
        << to;
  }
  EXPECT_THROW(
      DecodeBootSettings(ReplaceFirst(valid, "{", R"({"bootstrap":"yes",)")),
      InputError);
}

TEST(BootSettings, PollFailsForAMissingFileAndReturnsEachChangeOnce) {
  const std::string path = testing::TempDir() + "currantbeam-boot.json";
  BootSettingsFile missing(path + ".none");
  EXPECT_THROW(missing.Poll(), InputError);
  std::ofstream(path) << kSettings;
  BootSettingsFile file(path);
  EXPECT_TRUE(file.Poll().has_value());
  EXPECT_FALSE(file.Poll().has_value());
  std::ofstream(path) << "{";
  EXPECT_THROW(file.Poll(), InputError);
  EXPECT_FALSE(file.Poll().has_value());
}

TEST(PlatformSchema, RejectsMalformedConfigurations) {
  const PlatformSchema schema;
  const auto decode = [&](const std::string& value) {
    return schema.DecodeRoutes({{"op", "", "config"}, value, {0, 1}, false});
  };
  EXPECT_THROW(decode(""), InputError);
  EXPECT_THROW(decode(R"({"version":1})"), InputError);
  EXPECT_THROW(decode(R"({"version":"x"})"), InputError);
  EXPECT_THROW(decode(R"({"version":1,"services":[],"limits":{},"hosts":[
        {"host":"h","paths":[{"prefix":"/","type":"odd"}]}]})"),
               InputError);
  const StoreRow other = {{"op", "", "other"}, "x", {0, 1}, false};
  EXPECT_FALSE(schema.DecodeRoutes(other).has_value());
}

/// @return a backend entry with the given JSON text in place of one field's;
///   without the field if the text is empty.
auto DecodeBackendWith(const std::string& field, const std::string& text)
    -> BackendEntry {
  std::map<std::string, std::string> fields = {{"service", R"("s")"},
                                               {"addr", R"("10.0.0.1:80")"},
                                               {"zone", R"("x")"},
                                               {"slots", "4"},
                                               {"state", R"("ready")"},
                                               {"coldLeftS", "0"},
                                               {"born", "1750000000000"},
                                               {"version", R"("v1")"},
                                               {"seq", "7"}};
  fields[field] = text;
  if (text.empty()) fields.erase(field);
  std::string value;
  for (const auto& [name, field_text] : fields) {
    value += value.empty() ? "{\"" : ",\"";
    value += name;
    value += "\":";
    value += field_text;
  }
  return PlatformSchema().DecodeBackend(
      {{"servers", "", "a"}, value + "}", {0, 1}, false});
}

// An entry of another writer was used as that of a server.
TEST(PlatformSchema, RejectsABackendEntryWithAFieldMissingOrOfAnotherType) {
  EXPECT_EQ(DecodeBackendWith("seq", "7").sequence, 7U);
  for (const auto* field : {"service", "addr", "zone", "slots", "state",
                            "coldLeftS", "born", "version", "seq"}) {
    for (const auto* text : {"", "null", "true", "[]", "{}", R"("\xe9")"}) {
      EXPECT_THROW(DecodeBackendWith(field, text), InputError)
          << field << " " << text;
    }
  }
  for (const auto* field : {"slots", "coldLeftS", "born", "seq"}) {
    EXPECT_THROW(DecodeBackendWith(field, R"("7")"), InputError) << field;
  }
  for (const auto* field : {"service", "addr", "zone", "state", "version"}) {
    EXPECT_THROW(DecodeBackendWith(field, "7"), InputError) << field;
  }
  for (const auto* text : {"-7", "7.5", "18446744073709551616"}) {
    EXPECT_THROW(DecodeBackendWith("seq", text), InputError) << text;
  }
}

TEST(PlatformSchema, RejectsABackendEntryWithANumberOutOfRange) {
  const std::vector<std::string> never_valid = {
      "-1e300", "1e300", "1e999", "9223372036854775808", "18446744073709551616",
      "NaN",    "null"};
  for (const auto* field : {"slots", "coldLeftS", "born"}) {
    for (const auto& text : never_valid) {
      EXPECT_THROW(DecodeBackendWith(field, text), InputError)
          << field << " " << text;
    }
  }
  for (const auto* text : {"-1", "0", "4.5", "2147483647", "2147483648"}) {
    EXPECT_THROW(DecodeBackendWith("slots", text), InputError) << text;
  }
  for (const auto* text : {"-1", "0.5", "9223372036854775807"}) {
    EXPECT_THROW(DecodeBackendWith("born", text), InputError) << text;
  }
  EXPECT_EQ(DecodeBackendWith("slots", "4.0").slots, 4);
  EXPECT_EQ(DecodeBackendWith("slots", "1").slots, 1);
}

TEST(PlatformSchema, RejectsABackendEntryWithAPortOutOfRange) {
  for (const auto* port : {"0", "65536", "99999999999", "-1", "", "x", "80x",
                           " 80", "+80", "1e3"}) {
    const auto address = R"("10.0.0.1:)" + std::string(port) + '"';
    EXPECT_THROW(DecodeBackendWith("addr", address), InputError) << port;
  }
  EXPECT_EQ(DecodeBackendWith("addr", R"("10.0.0.1:65535")").port, 65535);
}

TEST(PlatformSchema, RejectsABackendIdThatIsNoHeaderValue) {
  const auto valid =
      R"({"service":"s","addr":"10.0.0.1:80","zone":"x","slots":4,
          "state":"ready","coldLeftS":0,"born":1750000000000})";
  for (const auto* id : {"", "a b", "a\r\nb: c", "\xc3\xa9", "a\x7f"}) {
    EXPECT_THROW(PlatformSchema().DecodeBackend(
                     {{"servers", "", id}, valid, {0, 1}, false}),
                 InputError);
  }
}

TEST(PlatformSchema, RejectsAConfigurationWithANumberOutOfRange) {
  const std::string valid =
      R"({"version":7,"services":[{"name":"s","maxConns":9,"warmS":1}],
          "limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,
                    "headerTimeoutS":0.5,"idleTimeoutS":5},
          "hosts":[{"host":"h","paths":[
            {"prefix":"/","type":"safe","timeoutS":2,"latencyTargetS":0.3,
             "priority":1,"service":"s","maxAttempts":2}]}]})";
  const auto decode = [](const std::string& value) {
    return PlatformSchema().DecodeRoutes(
        {{"op", "", "config"}, value, {0, 1}, false});
  };
  EXPECT_EQ(decode(valid)->version, 7U);
  for (const auto* field :
       {R"("version":7)", R"("maxConns":9)", R"("warmS":1)",
        R"("maxHeaderBytes":4096)", R"("maxBodyBytes":65536)",
        R"("headerTimeoutS":0.5)", R"("timeoutS":2)", R"("latencyTargetS":0.3)",
        R"("priority":1)", R"("maxAttempts":2)"}) {
    const std::string name(field, std::strchr(field, ':') + 1);
    for (const auto* text :
         {"1e300", "-1e300", "1e999", "18446744073709551616", "NaN"}) {
      EXPECT_THROW(decode(ReplaceFirst(valid, field, name + text)), InputError)
          << name << text;
    }
  }
  for (const auto* version : {"-1", "7.5"}) {
    EXPECT_THROW(decode(ReplaceFirst(valid, "7", version)), InputError)
        << version;
  }
}

TEST(PlatformSchema, DeepNestingDoesNotExhaustTheStack) {
  constexpr int kDepth = 200000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string objects;
  for (int i = 0; i < kDepth; ++i) objects += R"({"a":)";
  objects += "1" + std::string(kDepth, '}');
  FiberLoop loop;
  RunInFiber(loop, [&] {
    for (const auto& value : {nested, objects, nested.substr(0, kDepth)}) {
      EXPECT_THROW(PlatformSchema().DecodeBackend(
                       {{"servers", "", "a"}, value, {0, 1}, false}),
                   InputError);
      EXPECT_THROW(PlatformSchema().DecodeRoutes(
                       {{"op", "", "config"}, value, {0, 1}, false}),
                   InputError);
      EXPECT_THROW(DecodeBackendWith("slots", value), InputError);
      EXPECT_THROW(DecodeBackendWith("unknown", value), InputError);
    }
  });
}

TEST(TableStoreClient, ReadsWritesAndFollowsTheTable) {
  FiberLoop loop;
  WireStore store;
  HttpServer server(LocalServerOptions(kStorePort), store);
  server.Listen(loop);
  RunInFiber(loop, [&] {
    TableStoreClient client({"127.0.0.1", kStorePort});
    const RowName name = {"t", "", "key"};
    const std::string value("\0\xff binary", 9);
    StoreWrite write;
    const auto epoch = client.Read("t", "").version.epoch;
    write.conditions.push_back({name, {epoch, 0}});
    write.puts.push_back({name, value, {}, false});
    const auto written = client.Write(write);
    EXPECT_EQ(written.outcome, WriteOutcome::kWritten);
    EXPECT_EQ(client.Write(write).outcome, WriteOutcome::kConflict);
    const auto read = client.Read("t", "");
    EXPECT_EQ(read.rows.size(), 1U);
    EXPECT_EQ(read.rows.at(0).value, value);
    EXPECT_EQ(read.rows.at(0).version, written.version);
    EXPECT_GT(read.store_time.count(), 0);
    EXPECT_TRUE(client.Follow("t", read.version, milliseconds(1)).rows.empty());
    store.Remove(name);
    const auto feed = client.Follow("t", read.version, milliseconds(1000));
    EXPECT_EQ(feed.rows.size(), 1U);
    EXPECT_TRUE(feed.rows.at(0).is_deleted);
    store.DropHistory();
    EXPECT_THROW(client.Follow("t", {epoch, 0}, milliseconds(1)), HistoryLost);
    store.SetUnavailable(true);
    EXPECT_EQ(client.Write(write).outcome, WriteOutcome::kRejected);
    EXPECT_THROW(client.Read("t", ""), StoreError);
    store.SetUnavailable(false);
    store.SetHung(true);
    EXPECT_EQ(client.Write(write).outcome, WriteOutcome::kUnknown);
    EXPECT_THROW(client.Read("t", ""), StoreError);
    store.SetHung(false);
    server.StopAccepting();
  });
}

// The store has the version of the feed again, with other rows below it.
TEST(TableStoreClient, AFeedFromAReusedVersionHasNoHistory) {
  FiberLoop loop;
  WireStore store;
  HttpServer server(LocalServerOptions(kRestoredStorePort), store);
  server.Listen(loop);
  RunInFiber(loop, [&] {
    TableStoreClient client({"127.0.0.1", kRestoredStorePort});
    store.Put({"t", "", "a"}, "1");
    const auto copy = store.TakeCopy();
    store.Put({"t", "", "a"}, "lost");
    const auto read = client.Read("t", "");
    store.Restore(copy, Duration(0));
    for (const auto* key : {"b", "c"}) store.Put({"t", "", key}, "2");
    EXPECT_THROW(client.Follow("t", read.version, milliseconds(1)),
                 HistoryLost);
    const auto after = client.Read("t", "");
    EXPECT_EQ(after.rows.size(), 3U);
    EXPECT_TRUE(
        client.Follow("t", after.version, milliseconds(1)).rows.empty());
    server.StopAccepting();
  });
}

// The store bounds a page of rows in bytes. A page that is shorter than the
// requested number of rows is then not the last one, and a client that stopped
// there would take the servers on later pages for gone.
TEST(TableStoreClient, ReadsAllPagesOfATable) {
  FiberLoop loop;
  WireStore store;
  store.SetMaxPageRows(3);
  for (int i = 0; i < 8; ++i) {
    store.Put({"t", "", "key-" + std::to_string(i)}, "value");
  }
  HttpServer server(LocalServerOptions(kPagedStorePort), store);
  server.Listen(loop);
  RunInFiber(loop, [&] {
    TableStoreClient client({"127.0.0.1", kPagedStorePort});
    EXPECT_EQ(client.Read("t", "").rows.size(), 8U);
    server.StopAccepting();
  });
}

}  // namespace
}  // namespace currantbeam
