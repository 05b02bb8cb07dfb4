#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "core/core.h"

namespace currantbeam {

/// Estimates service times from those observed: one typical time per class, and
/// a time per key for keys whose requests take far longer than is typical of
/// their class. Memory is bounded.
class ServiceTimes {
 public:
  /// @param capacity  number of long-running keys that are kept; beyond it the
  ///   least recently observed one is evicted.
  explicit ServiceTimes(std::size_t capacity = 4096) : capacity(capacity) {}

  /// Records the service time of one request.
  auto Observe(const ClassName& class_name, std::uint64_t key_hash,
               Duration service_time) -> void;
  /// @return the smoothed service time of ordinary requests of the class; a
  ///   default before any was observed.
  [[nodiscard]] auto Typical(const ClassName& class_name) const -> Duration;
  /// @return the expected service time of a request of this class for this key.
  [[nodiscard]] auto Estimate(const ClassName& class_name,
                              std::uint64_t key_hash) const -> Duration;
  /// @return true if the request is expected to take more than kLongFactor
  ///   times the typical service time of its class.
  [[nodiscard]] auto IsLong(const ClassName& class_name,
                            std::uint64_t key_hash) const -> bool;

  static constexpr int kLongFactor = 8;

 private:
  struct ClassTimes {
    double typical_us = 0;
    double mean_us = 0;
  };
  struct KeyTime {
    double time_us = 0;
    std::list<std::uint64_t>::iterator lru_position;
  };
  std::size_t capacity;
  std::unordered_map<ClassName, ClassTimes> classes;
  std::unordered_map<std::uint64_t, KeyTime> long_keys;
  std::list<std::uint64_t> lru_keys;  ///< Most recently observed first.
};

}  // namespace currantbeam
