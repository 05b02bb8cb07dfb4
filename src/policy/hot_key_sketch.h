#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Counts the most frequent keys in bounded memory by the Space-Saving
/// algorithm (Metwally, Agrawal, El Abbadi: "Efficient Computation of Frequent
/// and Top-k Elements in Data Streams", 2005).
class HotKeySketch {
 public:
  struct Count {
    std::uint64_t hash = 0;
    std::uint64_t count = 0;
    std::uint64_t error = 0;  ///< By how much `count` may be too high.
  };

  explicit HotKeySketch(std::size_t capacity) : capacity(capacity) {}

  auto Add(std::uint64_t hash) -> void;
  /// @return keys that surely were counted at least `least` times, most first.
  [[nodiscard]] auto AtLeast(std::uint64_t least) const -> std::vector<Count>;
  [[nodiscard]] auto Total() const -> std::uint64_t { return this->total; }
  /// Forgets half of what was counted, so that old heat fades.
  auto Halve() -> void;

 private:
  auto SiftDown(std::size_t place) -> void;
  auto Swap(std::size_t a, std::size_t b) -> void;

  std::size_t capacity;
  std::uint64_t total = 0;
  std::vector<Count> heap;  ///< Least count first.
  std::unordered_map<std::uint64_t, std::size_t> places;
};

}  // namespace currantbeam
