#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <tuple>

namespace currantbeam {

/// Counts how often the store was restored from a copy. A restore rolls the
/// store back: it loses the transactions since the copy, and assigns their
/// numbers to other transactions.
using StoreEpoch = std::uint64_t;

/// Identifies a transaction of the store: its number within an epoch. Versions
/// are ordered by epoch, then by number. As a row's version, the number 0 means
/// that the row does not exist.
struct StoreVersion {
  StoreEpoch epoch = 0;
  std::uint64_t number = 0;

  friend auto operator==(const StoreVersion& a, const StoreVersion& b) -> bool {
    return a.epoch == b.epoch && a.number == b.number;
  }
  friend auto operator!=(const StoreVersion& a, const StoreVersion& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const StoreVersion& a, const StoreVersion& b) -> bool {
    return std::tie(a.epoch, a.number) < std::tie(b.epoch, b.number);
  }
  friend auto operator<=(const StoreVersion& a, const StoreVersion& b) -> bool {
    return !(b < a);
  }
  friend auto operator>(const StoreVersion& a, const StoreVersion& b) -> bool {
    return b < a;
  }
  friend auto operator>=(const StoreVersion& a, const StoreVersion& b) -> bool {
    return !(a < b);
  }
};

// The JSON library requires these names.
auto to_json(nlohmann::json& json, const StoreVersion& version) -> void;
auto from_json(const nlohmann::json& json, StoreVersion& version) -> void;

}  // namespace currantbeam
