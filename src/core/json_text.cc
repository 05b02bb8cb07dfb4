#include "core/json_text.h"

namespace currantbeam {
namespace {

constexpr auto kReplace = nlohmann::json::error_handler_t::replace;
constexpr int kOneLine = -1;

}  // namespace

auto ToJsonText(const nlohmann::json& json) -> std::string {
  return json.dump(kOneLine, ' ', false, kReplace);
}

auto ToReadableJsonText(const nlohmann::json& json) -> std::string {
  return json.dump(2, ' ', false, kReplace);
}

auto ToAsciiJsonText(const nlohmann::json& json) -> std::string {
  return json.dump(kOneLine, ' ', true, kReplace);
}

auto IsUtf8(std::string_view text) -> bool {
  try {
    // Throws for a byte that is not UTF-8.
    const auto json_text = nlohmann::json(text).dump();
    return !json_text.empty();
  } catch (const nlohmann::json::type_error&) {
    return false;
  }
}

}  // namespace currantbeam
