#include "core/compression.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace currantbeam {
namespace {

constexpr std::size_t kMaxBytes = 1024 * 1024;

auto RepeatedText() -> std::string {
  std::string text;
  for (int i = 0; i < 2000; ++i) text += "route-" + std::to_string(i);
  return text;
}

TEST(Compression, RestoresWhatWasCompressed) {
  for (const auto& bytes :
       {std::string(), std::string("\0\xff", 2), RepeatedText()}) {
    EXPECT_EQ(Decompress(Compress(bytes), kMaxBytes), bytes);
  }
  EXPECT_LT(Compress(RepeatedText()).size(), RepeatedText().size() / 2);
}

TEST(Compression, RejectsInputThatIsInvalidOrIncomplete) {
  const auto compressed = Compress(RepeatedText());
  EXPECT_THROW(Decompress("", kMaxBytes), InputError);
  EXPECT_THROW(Decompress("no zlib data", kMaxBytes), InputError);
  EXPECT_THROW(
      Decompress(compressed.substr(0, compressed.size() / 2), kMaxBytes),
      InputError);
}

TEST(Compression, RejectsResultsBeyondTheLimit) {
  const std::string zeros(16 * kMaxBytes, '\0');
  EXPECT_THROW(Decompress(Compress(zeros), kMaxBytes), InputError);
}

}  // namespace
}  // namespace currantbeam
