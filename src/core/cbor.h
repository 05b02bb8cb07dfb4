#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/error.h"

namespace currantbeam {

/// @return the value encoded as CBOR.
inline auto ToCbor(const nlohmann::json& json) -> std::string {
  std::string text;
  nlohmann::json::to_cbor(json, text);
  return text;
}

/// Levels of arrays and maps within each other in CBOR.
constexpr int kMaxCborNesting = 64;

/// The decoder recurses at each level, so deeply nested text would exhaust the
/// stack.
/// @throws InputError if the text is nested deeper than kMaxCborNesting.
auto CheckCborNesting(const std::string& text) -> void;

/// Decodes CBOR that another process encoded.
/// @param what     name of the value, for error messages.
/// @param convert  converts the decoded JSON value to the result; may throw
///   nlohmann::json::exception.
/// @return the result of `convert`.
/// @throws InputError if the text is not valid CBOR, is nested too deeply, or
///   `convert` fails.
template <typename Convert>
auto FromCbor(const std::string& text, std::string_view what, Convert convert) {
  CheckCborNesting(text);
  try {
    return convert(nlohmann::json::from_cbor(text));
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string(what) + ": " + error.what());
  }
}

/// @return the bytes as a binary JSON value; they need not be UTF-8.
inline auto ToBinary(const std::string& bytes) -> nlohmann::json {
  return nlohmann::json::binary({bytes.begin(), bytes.end()});
}
/// @return the bytes of a binary JSON value.
/// @throws nlohmann::json::exception if the value is not binary.
inline auto FromBinary(const nlohmann::json& json) -> std::string {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace currantbeam
