#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace currantbeam {

/// @return the value as JSON text, without line breaks. Strings of other
///   processes may hold bytes that are not UTF-8, which JSON can't carry; each
///   is replaced by U+FFFD.
auto ToJsonText(const nlohmann::json& json) -> std::string;
/// @return the value as JSON text on several lines, for a person to read.
auto ToReadableJsonText(const nlohmann::json& json) -> std::string;
/// @return the value as JSON text in ASCII.
auto ToAsciiJsonText(const nlohmann::json& json) -> std::string;
/// @return whether the text is UTF-8, so that JSON carries it unchanged.
auto IsUtf8(std::string_view text) -> bool;

}  // namespace currantbeam
