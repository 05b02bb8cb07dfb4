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

TEST(PeerMessage, BeatAndReportComeBackAsTheyWere) {
  Beat beat;
  beat.placer = HostId("h");
  beat.session = 3;
  beat.term = {7, 2};
  beat.leading = true;
  beat.documents.push_back({"d", {{1, 2}, 3}, {{"a", 1}}});
  beat.orders.push_back({ServerId("b"), 99});
  const nlohmann::json sent = beat;
  const nlohmann::json came = DecodeMessage(EncodeMessage(sent)).get<Beat>();
  EXPECT_EQ(sent, came);
  Report report;
  report.gateway = HostId("g");
  report.drives.push_back({ServerId("b"), 9, true, false, 4, 0.5});
  report.hot_keys.push_back({ServiceName("s"), 1, 2});
  report.account = nlohmann::json::array({1});
  const nlohmann::json out = report;
  const nlohmann::json back = DecodeMessage(EncodeMessage(out)).get<Report>();
  EXPECT_EQ(out, back);
}

TEST(PeerMessage, RefusesEveryTruncation) {
  Beat beat;
  beat.placer = HostId("host");
  beat.orders.push_back({ServerId("b"), 99});
  const auto whole = EncodeMessage(beat);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_THROW(DecodeMessage(whole.substr(0, length)), InputError);
  }
  EXPECT_THROW(DecodeMessage(whole + "x"), InputError);
}

TEST(PeerMessage, RefusesWhatIsNestedTooDeep) {
  EXPECT_NO_THROW(DecodeMessage(EncodeMessage(Nested(kMaxMessageDepth))));
  EXPECT_THROW(DecodeMessage(EncodeMessage(Nested(kMaxMessageDepth + 1))),
               InputError);
  const std::string endless(1'000'000, '\x81');
  EXPECT_THROW(DecodeMessage(endless), InputError);
}

TEST(PeerMessage, RefusesTheWrongType) {
  EXPECT_THROW(DecodeMessage(EncodeMessage(nlohmann::json::array({1}))),
               InputError);
  EXPECT_THROW(DecodeMessage(EncodeMessage({{"p", 1}})).get<Beat>(),
               nlohmann::json::exception);
}

TEST(PeerMessage, AnyBytesAreReadOrRefused) {
  EXPECT_TRUE(rc::check("decoding never fails otherwise", [] {
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
