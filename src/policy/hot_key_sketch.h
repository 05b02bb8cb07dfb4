#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Counts the most frequent keys in bounded memory with the Space-Saving
/// algorithm (Metwally, Agrawal, El Abbadi: "Efficient Computation of Frequent
/// and Top-k Elements in Data Streams", 2005).
class HotKeySketch {
 public:
  struct Count {
    std::uint64_t hash = 0;  ///< Hash of the key.
    std::uint64_t count = 0;
    std::uint64_t error = 0;  ///< By how much `count` may be too high.
  };

  /// @param capacity  number of keys that are counted at a time.
  explicit HotKeySketch(std::size_t capacity) : capacity(capacity) {}

  /// Counts one occurrence of a key. At capacity, the key replaces the least
  /// frequent one.
  auto Add(std::uint64_t hash) -> void;
  /// @return the keys that were certainly added at least `min_count` times,
  ///   most frequent first.
  [[nodiscard]] auto KeysAtLeast(std::uint64_t min_count) const
      -> std::vector<Count>;
  /// @return the number of occurrences counted, halved by each Halve().
  [[nodiscard]] auto Total() const -> std::uint64_t { return this->total; }
  /// Halves all counts, so that older occurrences weigh less.
  auto Halve() -> void;

 private:
  auto SiftDown(std::size_t index) -> void;
  auto Swap(std::size_t a, std::size_t b) -> void;

  std::size_t capacity;
  std::uint64_t total = 0;
  std::vector<Count> heap;  ///< A binary heap, least count first.
  /// Index in `heap`, by hash.
  std::unordered_map<std::uint64_t, std::size_t> indexes;
};

}  // namespace currantbeam
