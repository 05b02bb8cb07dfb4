#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace currantbeam {
namespace {

auto ReadSource(const std::string& path) -> std::string {
  std::ifstream file(std::string(CURRANTBEAM_SOURCE_DIR) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto FindAll(const std::string& text, const std::string& pattern)
    -> std::map<int, std::string> {
  std::map<int, std::string> found;
  const std::regex regex(pattern);
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    const auto number = std::stoi((*it)[1]);
    EXPECT_EQ(found.count(number), 0U) << "number " << number << " is reused";
    found[number] = (*it)[2];
  }
  return found;
}

TEST(EventCatalogue, ListsEveryEventOnceUnderItsName) {
  const auto code =
      FindAll(ReadSource("src/core/events.h"),
              R"(LogEvent k\w+\{\s*(\d+),\s*LogLevel::\w+,\s*"([a-z-]+)\")");
  const auto catalogue =
      FindAll(ReadSource("docs/EVENTS.md"), R"(\| (\d+) \| ([a-z-]+) \|)");
  EXPECT_GT(code.size(), 20U);
  EXPECT_EQ(code, catalogue);
}

}  // namespace
}  // namespace currantbeam
