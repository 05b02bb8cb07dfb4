#include "policy/service_times.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr double kSmoothing = 0.05;
constexpr double kKeySmoothing = 0.5;
constexpr double kDefaultMicros = 5000;

}  // namespace

auto ServiceTimes::Observe(const ClassName& work, std::uint64_t hash,
                           Duration took) -> void {
  const auto micros = static_cast<double>(took.count());
  auto& times = this->classes[work];
  if (times.typical_us == 0) {
    times.typical_us = micros;
    times.mean_us = micros;
  }
  times.mean_us += kSmoothing * (micros - times.mean_us);
  const bool is_long = micros > kLongFactor * times.typical_us;
  if (!is_long) {
    times.typical_us += kSmoothing * (micros - times.typical_us);
  } else {
    // Lets the typical time follow a class that has become slower as a whole.
    times.typical_us *= 1 + kSmoothing / 4;
  }
  const auto known = this->long_keys.find(hash);
  if (known == this->long_keys.end()) {
    if (!is_long) return;
    this->recent.push_front(hash);
    this->long_keys[hash] = {micros, this->recent.begin()};
    if (this->long_keys.size() > this->capacity) {
      this->long_keys.erase(this->recent.back());
      this->recent.pop_back();
    }
    return;
  }
  auto& key = known->second;
  key.micros += kKeySmoothing * (micros - key.micros);
  this->recent.splice(this->recent.begin(), this->recent, key.place);
  if (key.micros < times.typical_us * 2) {
    this->recent.erase(key.place);
    this->long_keys.erase(known);
  }
}

auto ServiceTimes::Typical(const ClassName& work) const -> Duration {
  const auto found = this->classes.find(work);
  if (found == this->classes.end()) {
    return Duration(static_cast<std::int64_t>(kDefaultMicros));
  }
  return Duration(static_cast<std::int64_t>(found->second.typical_us));
}

auto ServiceTimes::Expect(const ClassName& work, std::uint64_t hash) const
    -> Duration {
  const auto key = this->long_keys.find(hash);
  if (key != this->long_keys.end()) {
    return Duration(static_cast<std::int64_t>(key->second.micros));
  }
  return this->Typical(work);
}

auto ServiceTimes::IsLong(const ClassName& work, std::uint64_t hash) const
    -> bool {
  const auto key = this->long_keys.find(hash);
  if (key == this->long_keys.end()) return false;
  const auto typical = static_cast<double>(this->Typical(work).count());
  return key->second.micros > kLongFactor * typical;
}

}  // namespace currantbeam
