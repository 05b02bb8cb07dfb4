#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/http.h"

namespace currantbeam {

/// How a stand-in server behaves; may be changed while it runs. The fault
/// fields count the requests that are still to be affected.
struct WireBackendBehaviour {
  std::chrono::milliseconds work{5};  ///< For each request.
  std::size_t body_bytes = 100;       ///< Length of a response body.
  int slots = 4;          ///< Number of requests that run at the same time.
  int queue_limit = 16;   ///< Number of requests that may wait for a slot.
  bool is_keyed = false;  ///< Runs requests only for keys it holds a lease on.
  /// Runs the request, then closes the connection without a response.
  int drop_responses = 0;
  /// Sends half of the response body, then closes the connection.
  int truncate_responses = 0;
  /// Sends a response with another request's id before the right one.
  int stray_responses = 0;
  /// Runs the request, then responds with status 500.
  int fail_requests = 0;
  /// Rejects requests with status 503, as if it were full.
  int reject_requests = 0;
  std::string retry_after;  ///< Retry-After of rejections; none if empty.
  bool is_leaving = false;  ///< Says in each response that the server leaves.
};

/// Receives the events of a WireBackend.
class WireBackendObserver {
 public:
  virtual ~WireBackendObserver() = default;
  /// Called before a request is run.
  /// @param key  the request's key; -1 if it has none.
  virtual auto OnRequestRun(const std::string& request_id, int key) -> void = 0;
  virtual auto OnGrantAccepted(int first, int last, std::uint64_t token,
                               Duration remaining_lease) -> void = 0;
  virtual auto OnGrantReleased(int first, int last, std::uint64_t token)
      -> void = 0;
};

/// A stand-in backend server that speaks the platform's wire protocol. Keys
/// are leased to it with grants under fencing tokens; it rejects a request
/// that expects another server or whose key it holds no lease on. Requests
/// run in a limited number of slots, behind a bounded queue. Runs on one loop.
class WireBackend : public HttpHandler {
 public:
  /// @param observer  may be null.
  explicit WireBackend(std::string id, WireBackendObserver* observer = nullptr)
      : id(std::move(id)), observer(observer) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

  /// Sets what ends the server when it begins to run a request whose path
  /// contains "/deadly". Its connection is reset then. Without it, the server
  /// runs such a request like any other.
  auto SetCrash(std::function<void()> crash) -> void {
    this->crash = std::move(crash);
  }

  WireBackendBehaviour behaviour;

  /// Records pauses of the process (SIGSTOP) while the loop runs; never
  /// returns. Where the process may be paused, run it in its own fiber.
  auto DetectPauses() -> void;

  /// @return how many times each request was run, by request id.
  [[nodiscard]] auto RunCounts() const -> const std::map<std::string, int>& {
    return this->runs;
  }
  /// @return the X-Deadline-Ms of each request that was run, in order; 0 for a
  ///   request without the header.
  [[nodiscard]] auto RequestDeadlinesMs() const -> const std::vector<int>& {
    return this->deadlines_ms;
  }
  /// @return how many running requests ended because their client
  ///   disconnected.
  [[nodiscard]] auto AbandonedRequests() const -> int {
    return this->abandoned;
  }
  /// @return how many requests were rejected because they expected another
  ///   server or a key without a lease.
  [[nodiscard]] auto MisdirectedRequests() const -> int {
    return this->misdirected;
  }
  /// @return how many keys the server holds an unexpired lease on.
  [[nodiscard]] auto LeasedKeyCount() const -> int;

 private:
  struct KeyLease {
    std::uint64_t token = 0;
    std::uint64_t highest_token = 0;  ///< Grants below it are stale.
    TimePoint expires_at{};           ///< When the lease expires.
  };

  auto HandleGrantOrRelease(HttpExchange& exchange, bool is_release) -> void;
  /// @return the earliest time at which a message that is read now may have
  ///   arrived. A message read just after a pause may have arrived at the
  ///   pause's start, so its lease is counted from there.
  [[nodiscard]] auto EarliestArrivalTime() const -> TimePoint;
  auto HandleRequest(HttpExchange& exchange) -> void;
  auto HandleHealthCheck(HttpExchange& exchange) -> void;
  /// Queues a request until a slot is free.
  /// @return false if its deadline passed first.
  auto AwaitSlot(const HttpRequest& request) -> bool;
  auto RunRequest(HttpExchange& exchange, const std::string& request_id)
      -> void;
  auto SendResponse(HttpExchange& exchange, const std::string& request_id)
      -> void;
  /// @return false if the request expects another server.
  [[nodiscard]] auto IsExpected(const HttpRequest& request) const -> bool;
  auto AddServerState(HttpResponse& response) const -> void;
  [[nodiscard]] auto MayRun(const HttpRequest& request) const -> bool;
  auto SendNotExecuted(HttpExchange& exchange, http::status status) const
      -> void;

  std::string id;
  WireBackendObserver* observer;
  std::function<void()> crash;
  SteadyClock clock;
  TimePoint last_check{};   ///< Of DetectPauses; zero if it doesn't run.
  TimePoint pause_start{};  ///< Of the last pause.
  TimePoint pause_end{};    ///< Of the last pause; zero if there was none.
  std::map<int, KeyLease> leases;  ///< By key.
  std::map<std::string, int> runs;
  std::vector<int> deadlines_ms;
  int running = 0;
  int waiting = 0;
  int abandoned = 0;
  int misdirected = 0;
};

}  // namespace currantbeam
