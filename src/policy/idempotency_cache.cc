#include "policy/idempotency_cache.h"

#include <utility>

namespace currantbeam {

auto IdempotencyCache::DropOld(TimePoint now) -> void {
  while (!this->order.empty()) {
    const auto oldest = this->entries.find(this->order.front());
    const bool expired = now - oldest->second.started >= this->retention;
    if (!expired && this->entries.size() <= this->capacity) return;
    this->entries.erase(oldest);
    this->order.pop_front();
  }
}

auto IdempotencyCache::Begin(const std::string& key, TimePoint now) -> Found {
  this->DropOld(now);
  const auto known = this->entries.find(key);
  if (known != this->entries.end()) {
    return {known->second.state, known->second.answer};
  }
  Entry entry;
  entry.started = now;
  entry.place = this->order.insert(this->order.end(), key);
  this->entries.emplace(key, std::move(entry));
  return {};
}

auto IdempotencyCache::Forget(const std::string& key) -> void {
  const auto known = this->entries.find(key);
  if (known == this->entries.end()) return;
  this->order.erase(known->second.place);
  this->entries.erase(known);
}

auto IdempotencyCache::Answer(const std::string& key,
                              std::optional<CachedResponse> answer) -> void {
  const auto known = this->entries.find(key);
  if (known == this->entries.end()) return;
  known->second.state = State::kAnswered;
  known->second.answer = std::move(answer);
}

}  // namespace currantbeam
