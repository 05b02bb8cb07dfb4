#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// @return the message encoded as CBOR.
auto EncodeMessage(const nlohmann::json& message) -> std::string;

/// @param encoded  a CBOR message; may be any bytes.
/// @return the decoded message, a map.
/// @throws InputError if the bytes are truncated, are nested too deeply, have
///   trailing data or are not a map.
auto DecodeMessage(const std::string& encoded) -> nlohmann::json;

/// The limit on the nesting of arrays and maps in a message.
constexpr int kMaxMessageDepth = 16;

}  // namespace currantbeam
