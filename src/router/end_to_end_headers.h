#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/http.h"

namespace currantbeam {

/// Copies the headers that are not about one connection only.
auto CopyEndToEnd(const HttpFields& from, HttpFields& to) -> void;

/// @return the whole text as a number; nothing if it is none.
auto ParseNumber(std::string_view text) -> std::optional<std::int64_t>;

inline auto ToView(boost::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

}  // namespace currantbeam
