#include <gtest/gtest.h>

#include "fiber_test.h"
#include "platform_wire/scripted_server.h"
#include "platform_wire/wire_fleet.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kBasePort = 27400;
/// The index of the scripted server among the fleet's server ports.
constexpr int kScriptedIndex = 4;
constexpr std::uint16_t kScriptedPort = kBasePort + 10 + kScriptedIndex;

/// @return the head of a response with this request id; an empty one is left
///   out.
auto Head(const std::string& status, const std::string& id,
          const std::string& other_headers) -> std::string {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + other_headers +
         "\r\n";
}

/// A router whose only plain server is a ScriptedServer.
class FaultyResponse : public testing::Test {
 protected:
  /// Runs the body once the router knows the scripted server only.
  auto Run(const ScriptedServer::Script& script,
           const std::function<void()>& body) -> void {
    this->fleet.Run([&] {
      ScriptedServer server(kScriptedPort, script);
      server.Listen();
      this->fleet.Unregister(0);
      this->fleet.Unregister(1);
      ASSERT_TRUE(WireFleet::Await([&] {
        return this->fleet.Send("/safe/a", "none").result_int() == 503;
      }));
      this->fleet.RegisterStaleEntry("i-scripted", "plain", kScriptedIndex);
      ASSERT_TRUE(WireFleet::Await([&] {
        return this->fleet.Metrics().find("currantbeam_servers 3\n") !=
               std::string::npos;
      }));
      body();
    });
  }

  WireFleet fleet{kBasePort};
};

struct CutResponse {
  std::string name;
  std::string head;
  std::string body;
};

class CutHead : public FaultyResponse,
                public testing::WithParamInterface<CutResponse> {
 protected:
  /// Cuts the response after each number of bytes up to `max_length`.
  auto PlayEachCut(std::size_t max_length, bool resets) -> void {
    const auto response = GetParam().head + GetParam().body;
    std::size_t length = 0;
    int cuts = 0;
    const auto script = [&](ScriptedConnection& connection) {
      if (!connection.ReadRequest()) return;
      ++cuts;
      connection.Write(response.substr(0, length));
      resets ? connection.Reset() : connection.Close();
    };
    this->Run(script, [&] {
      for (; length <= max_length; ++length) {
        for (const auto* path : {"/order/a", "/safe/a", "/file/a"}) {
          const auto cuts_before = cuts;
          const auto status = this->fleet.Send(path, "id").result_int();
          EXPECT_TRUE(status == 502 || status == 504)
              << path << " got " << status << " after " << length << " bytes";
          EXPECT_GT(cuts, cuts_before) << "the server was not reached";
        }
      }
    });
  }
};

TEST_P(CutHead, IsNoSuccessWhenTheServerCloses) {
  this->PlayEachCut(GetParam().head.size() - 1, false);
}

TEST_P(CutHead, IsNoSuccessWhenTheServerResets) {
  this->PlayEachCut(GetParam().head.size() - 1, true);
}

TEST_P(CutHead, IsNoSuccessWhenTheBodyIsCut) {
  // Without a length, the end of the stream is the end of the body.
  const bool has_length = GetParam().name != "WithoutLength";
  this->PlayEachCut(GetParam().head.size() + GetParam().body.size() - 1,
                    !has_length);
}

INSTANTIATE_TEST_SUITE_P(
    Framings, CutHead,
    testing::Values(
        CutResponse{
            "WithLength",
            Head("200 OK", "id", "X-Backend-Seal: s\r\nContent-Length: 4\r\n"),
            "body"},
        CutResponse{"Chunked",
                    Head("200 OK", "id",
                         "X-Backend-Seal: s\r\nTransfer-Encoding: chunked\r\n"),
                    "4\r\nbody\r\n0\r\n\r\n"},
        CutResponse{"WithoutLength",
                    Head("200 OK", "id", "X-Backend-Seal: s\r\n"), "body"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace currantbeam
