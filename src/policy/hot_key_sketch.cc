#include "policy/hot_key_sketch.h"

#include <algorithm>
#include <utility>

namespace currantbeam {

auto HotKeySketch::Swap(std::size_t a, std::size_t b) -> void {
  std::swap(this->heap[a], this->heap[b]);
  this->indexes[this->heap[a].hash] = a;
  this->indexes[this->heap[b].hash] = b;
}

auto HotKeySketch::SiftDown(std::size_t index) -> void {
  while (true) {
    auto smallest = index;
    for (auto child = 2 * index + 1; child <= 2 * index + 2; ++child) {
      if (child < this->heap.size() &&
          this->heap[child].count < this->heap[smallest].count) {
        smallest = child;
      }
    }
    if (smallest == index) return;
    this->Swap(index, smallest);
    index = smallest;
  }
}

auto HotKeySketch::Add(std::uint64_t hash) -> void {
  ++this->total;
  const auto found = this->indexes.find(hash);
  if (found != this->indexes.end()) {
    const auto index = found->second;
    ++this->heap[index].count;
    this->SiftDown(index);
    return;
  }
  if (this->heap.size() < this->capacity) {
    this->heap.push_back({hash, 1, 0});
    auto index = this->heap.size() - 1;
    this->indexes[hash] = index;
    while (index != 0 &&
           this->heap[index].count < this->heap[(index - 1) / 2].count) {
      this->Swap(index, (index - 1) / 2);
      index = (index - 1) / 2;
    }
    return;
  }
  auto& smallest = this->heap.front();
  this->indexes.erase(smallest.hash);
  smallest.error = smallest.count;
  ++smallest.count;
  smallest.hash = hash;
  this->indexes[hash] = 0;
  this->SiftDown(0);
}

auto HotKeySketch::KeysAtLeast(std::uint64_t min_count) const
    -> std::vector<Count> {
  std::vector<Count> found;
  for (const auto& entry : this->heap) {
    if (entry.count - entry.error >= min_count) found.push_back(entry);
  }
  std::sort(found.begin(), found.end(),
            [](const Count& a, const Count& b) { return a.count > b.count; });
  return found;
}

auto HotKeySketch::Halve() -> void {
  this->total /= 2;
  for (auto& entry : this->heap) {
    entry.count /= 2;
    entry.error /= 2;
  }
}

}  // namespace currantbeam
