#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "http/http.h"
#include "servers/servers.h"

namespace currantbeam {

/// How a stand-in server behaves. POST /standin/behaviour changes most fields
/// while it runs.
struct ServerBehaviour {
  int slots = 4;
  bool checks_tokens = true;
  std::chrono::microseconds work{2000};  ///< Mean time for one request.
  double slowness = 1;                   ///< Multiplies all work.
  double straggler_share = 0;     ///< Share of requests that are stragglers.
  double straggler_factor = 100;  ///< Multiplies a straggler's work.
  std::chrono::milliseconds cold{0};  ///< Slow for this long after the start.
  std::size_t answer_bytes = 200;     ///< Length of a response body.
  unsigned status = 200;              ///< Of the response to a request.
  bool truncate = false;         ///< Sends half of the body, then disconnects.
  bool lose_answers = false;     ///< Does the work, then disconnects.
  std::size_t queue_limit = 64;  ///< Rejects a request if this many are queued.
};

/// A stand-in backend server for gateways: accepts grants, checks the fencing
/// token and slot of each request, sleeps for the request's work in one of its
/// slots, and sends a response. GET /standin/report returns what it ran, for
/// tests to compare.
class ServerHandler : public HttpHandler {
 public:
  ServerHandler(const ServerBehaviour& behaviour, std::uint64_t run_id);

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  struct SlotWaiter {
    Wakeup wakeup;
  };
  auto AcceptGrant(HttpExchange& exchange) -> void;
  auto SendReport(HttpExchange& exchange) -> void;
  auto SetBehaviour(HttpExchange& exchange) -> void;
  auto RunRequest(HttpExchange& exchange) -> void;
  auto IsAllowed(const HttpRequest& request) -> bool;
  /// Waits in the queue until a slot is free.
  /// @return false if the queue is full.
  auto AcquireSlot() -> bool;
  auto ReleaseSlot() -> void;
  /// @return the request's work: x-work-us or the mean, spread at random, and
  ///   longer for stragglers and after a cold start.
  auto SampleWorkTime(const HttpRequest& request) -> std::chrono::microseconds;
  auto SendResponse(HttpExchange& exchange, std::chrono::microseconds busy)
      -> void;

  SteadyClock clock;
  ServerBehaviour behaviour;
  GrantHolder grant_holder;
  std::mt19937_64 random;
  TimePoint started;
  int busy_slots = 0;
  std::deque<SlotWaiter*> slot_queue;
  std::int64_t busy_us = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused = 0;
  std::map<std::string, int> runs_by_id;  ///< By the x-request-id header.
};

}  // namespace currantbeam
