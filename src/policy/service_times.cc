#include "policy/service_times.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr double kSmoothingFactor = 0.05;
constexpr double kKeySmoothingFactor = 0.5;
constexpr double kDefaultServiceTimeUs = 5000;

}  // namespace

auto ServiceTimes::Observe(const ClassName& class_name, std::uint64_t key_hash,
                           Duration service_time) -> void {
  const auto time_us = static_cast<double>(service_time.count());
  auto& times = this->classes[class_name];
  if (times.typical_us == 0) {
    times.typical_us = time_us;
    times.mean_us = time_us;
  }
  times.mean_us += kSmoothingFactor * (time_us - times.mean_us);
  const bool is_long = time_us > kLongFactor * times.typical_us;
  if (!is_long) {
    times.typical_us += kSmoothingFactor * (time_us - times.typical_us);
  } else {
    // Lets the typical time follow when a whole class becomes slower.
    times.typical_us *= 1 + kSmoothingFactor / 4;
  }
  const auto long_key = this->long_keys.find(key_hash);
  if (long_key == this->long_keys.end()) {
    if (!is_long) return;
    this->lru_keys.push_front(key_hash);
    this->long_keys[key_hash] = {time_us, this->lru_keys.begin()};
    if (this->long_keys.size() > this->capacity) {
      this->long_keys.erase(this->lru_keys.back());
      this->lru_keys.pop_back();
    }
    return;
  }
  auto& key = long_key->second;
  key.time_us += kKeySmoothingFactor * (time_us - key.time_us);
  this->lru_keys.splice(this->lru_keys.begin(), this->lru_keys,
                        key.lru_position);
  if (key.time_us < times.typical_us * 2) {
    this->lru_keys.erase(key.lru_position);
    this->long_keys.erase(long_key);
  }
}

auto ServiceTimes::Typical(const ClassName& class_name) const -> Duration {
  const auto found = this->classes.find(class_name);
  if (found == this->classes.end()) {
    return Duration(static_cast<std::int64_t>(kDefaultServiceTimeUs));
  }
  return Duration(static_cast<std::int64_t>(found->second.typical_us));
}

auto ServiceTimes::Estimate(const ClassName& class_name,
                            std::uint64_t key_hash) const -> Duration {
  const auto key = this->long_keys.find(key_hash);
  if (key != this->long_keys.end()) {
    return Duration(static_cast<std::int64_t>(key->second.time_us));
  }
  return this->Typical(class_name);
}

auto ServiceTimes::IsLong(const ClassName& class_name,
                          std::uint64_t key_hash) const -> bool {
  const auto key = this->long_keys.find(key_hash);
  if (key == this->long_keys.end()) return false;
  const auto typical = static_cast<double>(this->Typical(class_name).count());
  return key->second.time_us > kLongFactor * typical;
}

}  // namespace currantbeam
