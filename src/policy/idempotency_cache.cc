#include "policy/idempotency_cache.h"

#include <utility>

namespace currantbeam {

auto IdempotencyCache::Evict(TimePoint now) -> void {
  while (!this->keys_by_age.empty()) {
    const auto oldest = this->entries.find(this->keys_by_age.front());
    const bool is_expired = now - oldest->second.started >= this->time_to_live;
    if (!is_expired && this->entries.size() <= this->capacity) return;
    this->entries.erase(oldest);
    this->keys_by_age.pop_front();
  }
}

auto IdempotencyCache::Begin(const std::string& key, TimePoint now)
    -> LookupResult {
  this->Evict(now);
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    return {found->second.state, found->second.cached_response};
  }
  Entry entry;
  entry.started = now;
  entry.position = this->keys_by_age.insert(this->keys_by_age.end(), key);
  this->entries.emplace(key, std::move(entry));
  return {};
}

auto IdempotencyCache::Discard(const std::string& key) -> void {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) return;
  this->keys_by_age.erase(found->second.position);
  this->entries.erase(found);
}

auto IdempotencyCache::Complete(const std::string& key,
                                std::optional<CachedResponse> response)
    -> void {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) return;
  found->second.state = State::kCompleted;
  found->second.cached_response = std::move(response);
}

}  // namespace currantbeam
