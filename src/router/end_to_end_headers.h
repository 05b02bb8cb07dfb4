#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "http/http.h"

namespace currantbeam {

/// Copies all headers but the hop-by-hop ones (RFC 9110, section 7.6.1).
auto CopyEndToEndHeaders(const HttpFields& from, HttpFields& to) -> void;

/// @return the text as a decimal number; nothing unless all of it is one.
auto ParseNumber(std::string_view text) -> std::optional<std::int64_t>;

/// @return the text as a time, which is limited to a year; nothing unless it is
///   a decimal number of seconds, which may have a fraction.
auto ParseSeconds(std::string_view text)
    -> std::optional<std::chrono::milliseconds>;

inline auto ToView(boost::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

}  // namespace currantbeam
