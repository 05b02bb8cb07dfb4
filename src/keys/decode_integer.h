#pragma once

#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// @param what  name of the value, for error messages.
/// @return the value, which lies between the limits, both included.
/// @throws InputError if the value is no integer or lies outside.
template <typename Integer>
auto DecodeInteger(const nlohmann::json& json, Integer min, Integer max,
                   const std::string& what) -> Integer {
  const bool is_positive = json.is_number_unsigned();
  if (!json.is_number_integer()) throw InputError(what + " is no integer");
  const auto magnitude = is_positive ? json.get<std::uint64_t>() : 0;
  constexpr auto kMaxSigned =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (magnitude > kMaxSigned) throw InputError(what + " is out of range");
  const auto value = json.get<std::int64_t>();
  const bool is_in_range = value >= static_cast<std::int64_t>(min) &&
                           value <= static_cast<std::int64_t>(max);
  if (!is_in_range) throw InputError(what + " is out of range");
  return static_cast<Integer>(value);
}

}  // namespace currantbeam
