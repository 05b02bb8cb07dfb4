#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "core/core.h"

namespace currantbeam {

/// Learns how long work takes: by class, and by key for the keys whose work
/// takes far longer than their class. Memory is bounded.
class ServiceTimes {
 public:
  /// @param capacity  how many keys are remembered.
  explicit ServiceTimes(std::size_t capacity = 4096) : capacity(capacity) {}

  auto Observe(const ClassName& work, std::uint64_t hash, Duration took)
      -> void;
  /// @return what one piece of the class's ordinary work takes.
  [[nodiscard]] auto Typical(const ClassName& work) const -> Duration;
  /// @return the best guess for work of this class on this key.
  [[nodiscard]] auto Expect(const ClassName& work, std::uint64_t hash) const
      -> Duration;
  /// @return true if the work is expected to take many times the typical.
  [[nodiscard]] auto IsLong(const ClassName& work, std::uint64_t hash) const
      -> bool;

  static constexpr int kLongFactor = 8;

 private:
  struct ClassTimes {
    double typical_us = 0;
    double mean_us = 0;
  };
  struct KeyTime {
    double micros = 0;
    std::list<std::uint64_t>::iterator place;
  };
  std::size_t capacity;
  std::unordered_map<ClassName, ClassTimes> classes;
  std::unordered_map<std::uint64_t, KeyTime> long_keys;
  std::list<std::uint64_t> recent;  ///< Most recent first.
};

}  // namespace currantbeam
