#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// @return the message in CBOR.
auto EncodeMessage(const nlohmann::json& message) -> std::string;

/// @param data  a message in CBOR, from a peer that is not trusted to be sane.
/// @throws InputError if it is cut short, nested too deep, followed by more,
/// or not a map.
auto DecodeMessage(const std::string& data) -> nlohmann::json;

/// The deepest nesting of arrays and maps that a message may have.
constexpr int kMaxMessageDepth = 16;

}  // namespace currantbeam
