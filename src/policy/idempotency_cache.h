#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace currantbeam {

/// The stored response to a request with an idempotency key.
struct CachedResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Tracks requests by idempotency key, so that a repeated request is answered
/// from the cache or rejected, but not run again. Bounded by the number of
/// entries and by their age. Not thread-safe: the owner has to hold its lock.
class IdempotencyCache {
 public:
  enum class State {
    kNew,      ///< The key is unknown: run the request and report its outcome.
    kRunning,  ///< Sent without a response yet, or the outcome is unknown.
    kCompleted,  ///< The request ran.
  };
  struct LookupResult {
    State state = State::kNew;
    /// Empty unless the request has completed and its response was stored.
    std::optional<CachedResponse> cached_response;
  };

  /// @param capacity  number of keys that are kept.
  /// @param time_to_live  how long a key is kept after its request began.
  IdempotencyCache(std::size_t capacity, Duration time_to_live)
      : capacity(capacity), time_to_live(time_to_live) {}

  /// Looks the key up. A new key is added in state kRunning.
  /// @return what was known of the key before this call.
  auto Begin(const std::string& key, TimePoint now) -> LookupResult;
  /// Removes the key of a request that was not run, so that it may be retried.
  auto Discard(const std::string& key) -> void;
  /// Marks the request as completed.
  /// @param response  repeated to later requests with this key; empty if the
  ///   response is not to be repeated.
  auto Complete(const std::string& key, std::optional<CachedResponse> response)
      -> void;

 private:
  struct Entry {
    State state = State::kRunning;
    std::optional<CachedResponse> cached_response;
    TimePoint started;
    std::list<std::string>::iterator position;
  };
  /// Removes expired entries, and the oldest ones beyond the capacity.
  auto Evict(TimePoint now) -> void;

  std::size_t capacity;
  Duration time_to_live;
  std::unordered_map<std::string, Entry> entries;
  std::list<std::string> keys_by_age;  ///< Oldest first.
};

}  // namespace currantbeam
