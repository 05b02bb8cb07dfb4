#include "policy/hot_key_sketch.h"

#include <algorithm>
#include <utility>

namespace currantbeam {

auto HotKeySketch::Swap(std::size_t a, std::size_t b) -> void {
  std::swap(this->heap[a], this->heap[b]);
  this->places[this->heap[a].hash] = a;
  this->places[this->heap[b].hash] = b;
}

auto HotKeySketch::SiftDown(std::size_t place) -> void {
  while (true) {
    auto least = place;
    for (auto child = 2 * place + 1; child <= 2 * place + 2; ++child) {
      if (child < this->heap.size() &&
          this->heap[child].count < this->heap[least].count) {
        least = child;
      }
    }
    if (least == place) return;
    this->Swap(place, least);
    place = least;
  }
}

auto HotKeySketch::Add(std::uint64_t hash) -> void {
  ++this->total;
  const auto found = this->places.find(hash);
  if (found != this->places.end()) {
    const auto place = found->second;
    ++this->heap[place].count;
    this->SiftDown(place);
    return;
  }
  if (this->heap.size() < this->capacity) {
    this->heap.push_back({hash, 1, 0});
    auto place = this->heap.size() - 1;
    this->places[hash] = place;
    while (place != 0 &&
           this->heap[place].count < this->heap[(place - 1) / 2].count) {
      this->Swap(place, (place - 1) / 2);
      place = (place - 1) / 2;
    }
    return;
  }
  auto& least = this->heap.front();
  this->places.erase(least.hash);
  least.error = least.count;
  ++least.count;
  least.hash = hash;
  this->places[hash] = 0;
  this->SiftDown(0);
}

auto HotKeySketch::AtLeast(std::uint64_t least) const -> std::vector<Count> {
  std::vector<Count> found;
  for (const auto& entry : this->heap) {
    if (entry.count - entry.error >= least) found.push_back(entry);
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
