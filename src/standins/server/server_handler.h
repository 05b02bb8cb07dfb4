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

/// How a stand-in server behaves.
struct ServerBehaviour {
  int slots = 4;
  bool checks_tokens = true;
  std::chrono::microseconds work{2000};  ///< Mean time for one request.
  double slowness = 1;                   ///< Multiplies all work.
  double straggler_share = 0;
  double straggler_factor = 100;
  std::chrono::milliseconds cold{0};  ///< Slow for this long after the start.
  std::size_t answer_bytes = 200;
  bool truncate = false;         ///< Answers break off in the middle.
  bool lose_answers = false;     ///< Work is done, then the connection drops.
  std::size_t queue_limit = 64;  ///< Sheds beyond this many waiting.
};

/// A stand-in backend server: takes grants, has a few slots, works for a
/// while and answers. Records what ran, for tests to compare.
class ServerHandler : public HttpHandler {
 public:
  ServerHandler(const ServerBehaviour& behaviour, std::uint64_t run);

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  struct SlotWaiter {
    Wakeup wakeup;
  };
  auto TakeGrant(HttpExchange& exchange) -> void;
  auto Report(HttpExchange& exchange) -> void;
  auto SetBehaviour(HttpExchange& exchange) -> void;
  auto Work(HttpExchange& exchange) -> void;
  auto IsAllowed(const HttpRequest& request) -> bool;
  auto TakeSlot() -> bool;
  auto FreeSlot() -> void;
  auto DrawWork(const HttpRequest& request) -> std::chrono::microseconds;
  auto SendAnswer(HttpExchange& exchange, std::chrono::microseconds busy)
      -> void;

  SteadyClock clock;
  ServerBehaviour behaviour;
  GrantHolder holder;
  std::mt19937_64 random;
  TimePoint started;
  int busy_slots = 0;
  std::deque<SlotWaiter*> waiting;
  std::int64_t busy_us = 0;
  std::uint64_t ran = 0;
  std::uint64_t refused = 0;
  std::map<std::string, int> runs_by_id;  ///< By the x-request-id header.
};

}  // namespace currantbeam
