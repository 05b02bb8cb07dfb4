#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/error.h"

namespace currantbeam {

/// @return the value in CBOR.
inline auto ToCbor(const nlohmann::json& json) -> std::string {
  std::string text;
  nlohmann::json::to_cbor(json, text);
  return text;
}

/// Reads a value that another process wrote.
/// @param what  names the value in the message of an error.
/// @param read  makes something of the JSON; may throw JSON's own exceptions.
/// @throws InputError if the text is no CBOR or not of the form expected.
template <typename Read>
auto FromCbor(const std::string& text, std::string_view what, Read read) {
  try {
    return read(nlohmann::json::from_cbor(text));
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string(what) + ": " + error.what());
  }
}

/// @return bytes as one value, whatever they are.
inline auto ToBinary(const std::string& bytes) -> nlohmann::json {
  return nlohmann::json::binary({bytes.begin(), bytes.end()});
}
/// @throws nlohmann::json::exception if the value holds no bytes.
inline auto FromBinary(const nlohmann::json& json) -> std::string {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace currantbeam
