#pragma once

#include <map>
#include <string>
#include <vector>

#include "http/http.h"

namespace currantbeam {

/// How a stand-in server behaves; may be changed while it runs.
struct WireBackendBehaviour {
  std::chrono::milliseconds work{5};
  std::size_t body_bytes = 100;
  int slots = 4;
  int queue = 16;
  bool is_keyed = false;
  /// The next requests are run and their answers lost.
  int lose_answers = 0;
  /// The next answers break off in their middle.
  int cut_answers = 0;
  /// Before the next answers comes one that belongs to no request.
  int extra_answers = 0;
  /// The next requests are run and answered with 500.
  int fail_requests = 0;
};

/// Told of what a stand-in server does.
class WireBackendEvents {
 public:
  virtual ~WireBackendEvents() = default;
  /// @param key  of the request; -1 if it has none.
  virtual auto OnRun(const std::string& request_id, int key) -> void = 0;
  virtual auto OnHold(int first, int last, std::uint64_t fence, Duration hold)
      -> void = 0;
  virtual auto OnReleased(int first, int last, std::uint64_t fence) -> void = 0;
};

/// A backend server on the platform's wire: keys granted under fencing
/// tokens, slots and a queue, expected ids, and faults on demand. One loop.
class WireBackend : public HttpHandler {
 public:
  /// @param events  may be null.
  explicit WireBackend(std::string id, WireBackendEvents* events = nullptr)
      : id(std::move(id)), events(events) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

  WireBackendBehaviour behaviour;

  /// Notes pauses of the process, for as long as the loop runs. Call in a
  /// fiber of its own where the process may be paused.
  auto WatchForPauses() -> void;

  /// @return how often each request id was run.
  [[nodiscard]] auto Runs() const -> const std::map<std::string, int>& {
    return this->runs;
  }
  /// @return the deadlines that requests came with, in milliseconds.
  [[nodiscard]] auto Deadlines() const -> const std::vector<int>& {
    return this->deadlines;
  }
  [[nodiscard]] auto Abandoned() const -> int { return this->abandoned; }
  /// @return how many requests it refused that were not for it, or for keys
  ///   that it does not hold.
  [[nodiscard]] auto Misdirected() const -> int { return this->misdirected; }
  [[nodiscard]] auto HeldKeys() const -> int;

 private:
  struct Hold {
    std::uint64_t fence = 0;
    std::uint64_t seen = 0;
    TimePoint until{};
  };

  auto HandleGrant(HttpExchange& exchange, bool is_release) -> void;
  /// @return when what is read now may have arrived: while the process was
  ///   paused, holds counted from before it.
  [[nodiscard]] auto ArrivalTime() const -> TimePoint;
  auto HandleRequest(HttpExchange& exchange) -> void;
  auto RunRequest(HttpExchange& exchange, const std::string& request_id)
      -> void;
  auto SendAnswer(HttpExchange& exchange, const std::string& request_id)
      -> void;
  [[nodiscard]] auto MayRun(const HttpRequest& request) const -> bool;
  auto NotRun(HttpExchange& exchange, http::status status) const -> void;

  std::string id;
  WireBackendEvents* events;
  SteadyClock clock;
  TimePoint watched_at{};   ///< When the watch last saw the clock.
  TimePoint paused_from{};  ///< The last pause.
  TimePoint resumed_at{};
  std::map<int, Hold> holds;  ///< By key.
  std::map<std::string, int> runs;
  std::vector<int> deadlines;
  int running = 0;
  int waiting = 0;
  int abandoned = 0;
  int misdirected = 0;
};

}  // namespace currantbeam
