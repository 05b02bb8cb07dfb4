#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "http/http.h"
#include "policy/policy.h"
#include "servers/servers.h"

namespace currantbeam {

/// Names of the headers that gateways add to answers.
namespace answer_headers {
constexpr const char* kWaited = "currantbeam-waited-us";
constexpr const char* kServer = "currantbeam-server";
constexpr const char* kReroute = "currantbeam-reroute";
}  // namespace answer_headers

/// Relays a backend server's answer: whole if it is small, else in parts as
/// fast as the client takes them, so that memory stays bounded.
class AnswerRelay {
 public:
  explicit AnswerRelay(HttpExchange& exchange) : exchange(exchange) {}

  /// Keeps a copy of the answer, up to a limit.
  auto Remember() -> void { this->remembers = true; }
  /// @return the copy, if the whole answer was within the limit.
  [[nodiscard]] auto Remembered() const -> std::optional<CachedResponse>;

  /// @param head  the head to send; framing fields are set anew.
  /// @throws RequestError if the answer is cut or the client is gone.
  auto Run(ResponseReader& source, http::response_header<> head) -> void;

 private:
  auto SendWhole(ResponseReader& source, http::response_header<> head) -> void;
  auto Stream(ResponseReader& source, const http::response_header<>& head,
              std::optional<std::uint64_t> length) -> void;
  auto Keep(std::string_view part) -> void;

  HttpExchange& exchange;
  bool remembers = false;
  bool is_whole = true;
  CachedResponse kept;
};

/// Answers with what is remembered of an earlier request with the same
/// idempotency key, or says that its outcome is not known.
auto SendRemembered(HttpExchange& exchange,
                    const IdempotencyCache::LookupResult& found) -> void;

/// Answers a request that failed, with its verdict.
/// @param retry_after  sent as Retry-After if positive.
auto SendFailure(HttpExchange& exchange, http::status status,
                 ExecutionStatus verdict, const std::string& what,
                 Duration retry_after = Duration(0)) -> void;

}  // namespace currantbeam
