#include "router/trial_message.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/cbor.h"

namespace currantbeam {
namespace {

TEST(TrialMessage, RoundTripsThroughEncoding) {
  TrialMessage message;
  message.request = 7;
  message.is_release = true;
  message.length = std::chrono::seconds(2);
  message.quarantine.quarantined.push_back({7, 1, Duration(5), false});
  const auto decoded = TrialMessage::Decode(message.Encode());
  EXPECT_EQ(decoded.Encode(), message.Encode());
  EXPECT_EQ(decoded.request, 7U);
  EXPECT_TRUE(decoded.is_release);
}

TEST(TrialMessage, RejectsALengthOutOfRange) {
  TrialMessage message;
  message.length = std::chrono::hours(1);
  EXPECT_THROW(TrialMessage::Decode(message.Encode()), InputError);
  message.length = Duration(-1);
  EXPECT_THROW(TrialMessage::Decode(message.Encode()), InputError);
}

TEST(TrialMessage, DecodesOrRejectsArbitraryBytes) {
  EXPECT_TRUE(rc::check("decoding throws no other exception", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    try {
      TrialMessage::Decode(bytes);
    } catch (const InputError&) {
    }
  }));
}

}  // namespace
}  // namespace currantbeam
