#include "core/json_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace currantbeam {
namespace {

// A wrong byte in a text of another process ended the process.
RC_GTEST_PROP(JsonText, HoldsAnyBytes, (const std::string& bytes)) {
  const nlohmann::json json = {{"value", bytes}, {bytes + "key", 1}};
  for (const auto& text :
       {ToJsonText(json), ToReadableJsonText(json), ToAsciiJsonText(json)}) {
    const auto parsed = nlohmann::json::parse(text);
    RC_ASSERT(!IsUtf8(bytes) || parsed == json);
  }
}

TEST(JsonText, TellsWhichTextsJsonCarriesUnchanged) {
  for (const std::string text : {"", "5c0e", "\xc3\xa9", "\t\"\\"}) {
    EXPECT_TRUE(IsUtf8(text)) << text;
  }
  for (const std::string text : {"\xe9", "a\xff", "\xc3", "\xc0\x80",
                                 "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
    EXPECT_FALSE(IsUtf8(text)) << text;
  }
}

}  // namespace
}  // namespace currantbeam
