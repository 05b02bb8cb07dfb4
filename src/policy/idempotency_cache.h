#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/core.h"

namespace currantbeam {

/// A remembered answer to a request that carried an idempotency key.
struct CachedResponse {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Remembers what became of requests with an idempotency key, so that a
/// repeated one is answered, or refused, but not run again. Bounded by entries
/// and time; thread-safe only under its owner's lock.
class IdempotencyCache {
 public:
  enum class State {
    kNew,       ///< Not seen: run it and report the outcome.
    kRunning,   ///< Sent and not answered yet, or its outcome is unknown.
    kAnswered,  ///< Ran; the answer is remembered.
  };
  struct Found {
    State state = State::kNew;
    std::optional<CachedResponse> answer;
  };

  IdempotencyCache(std::size_t capacity, Duration retention)
      : capacity(capacity), retention(retention) {}

  /// Looks the key up and, if it is new, notes that it is being run.
  auto Begin(const std::string& key, TimePoint now) -> Found;
  /// Notes that the request was not run, so that it may be tried again.
  auto Forget(const std::string& key) -> void;
  /// Notes that it ran, with the answer if it is to be repeated.
  auto Answer(const std::string& key, std::optional<CachedResponse> answer)
      -> void;

 private:
  struct Entry {
    State state = State::kRunning;
    std::optional<CachedResponse> answer;
    TimePoint started;
    std::list<std::string>::iterator place;
  };
  auto DropOld(TimePoint now) -> void;

  std::size_t capacity;
  Duration retention;
  std::unordered_map<std::string, Entry> entries;
  std::list<std::string> order;  ///< Oldest first.
};

}  // namespace currantbeam
