#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "ownership/ownership.h"
#include "peers/peers.h"

namespace currantbeam {
namespace {

auto Nested(int depth) -> nlohmann::json {
  nlohmann::json json = 1;
  for (int i = 1; i < depth; ++i) json = nlohmann::json::array({json});
  return {{"x", json}};
}

TEST(PeerMessage, HeartbeatsAndReportsRoundTrip) {
  Heartbeat beat;
  beat.placer = HostId("h");
  beat.session = 3;
  beat.term = {7, 2};
  beat.leading = true;
  beat.documents.push_back({"d", {{1, 2}, 3}, {{"a", 1}}});
  beat.assignments.push_back({ServerId("b"), 99});
  const nlohmann::json beat_json = beat;
  const nlohmann::json decoded_beat =
      DecodeMessage(EncodeMessage(beat_json)).get<Heartbeat>();
  EXPECT_EQ(beat_json, decoded_beat);
  Report report;
  report.gateway = HostId("g");
  report.driven_servers.push_back({ServerId("b"), 9, true, false, 4, 0.5});
  report.hot_keys.push_back({ServiceName("s"), 1, 2});
  report.account = nlohmann::json::array({1});
  const nlohmann::json report_json = report;
  const nlohmann::json decoded_report =
      DecodeMessage(EncodeMessage(report_json)).get<Report>();
  EXPECT_EQ(report_json, decoded_report);
}

TEST(PeerMessage, RejectsEveryTruncation) {
  Heartbeat beat;
  beat.placer = HostId("host");
  beat.assignments.push_back({ServerId("b"), 99});
  const auto whole = EncodeMessage(beat);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_THROW(DecodeMessage(whole.substr(0, length)), InputError);
  }
  EXPECT_THROW(DecodeMessage(whole + "x"), InputError);
}

TEST(PeerMessage, RejectsMessagesNestedTooDeeply) {
  EXPECT_NO_THROW(DecodeMessage(EncodeMessage(Nested(kMaxMessageDepth))));
  EXPECT_THROW(DecodeMessage(EncodeMessage(Nested(kMaxMessageDepth + 1))),
               InputError);
  const std::string endless(1'000'000, '\x81');
  EXPECT_THROW(DecodeMessage(endless), InputError);
}

TEST(PeerMessage, RejectsWrongTypes) {
  EXPECT_THROW(DecodeMessage(EncodeMessage(nlohmann::json::array({1}))),
               InputError);
  EXPECT_THROW(DecodeMessage(EncodeMessage({{"p", 1}})).get<Heartbeat>(),
               nlohmann::json::exception);
}

TEST(PeerMessage, DecodesOrRejectsArbitraryBytes) {
  EXPECT_TRUE(rc::check("decoding throws no other exception", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    try {
      DecodeMessage(bytes).get<Report>();
    } catch (const InputError&) {
    } catch (const nlohmann::json::exception&) {
    }
  }));
}

}  // namespace
}  // namespace currantbeam
