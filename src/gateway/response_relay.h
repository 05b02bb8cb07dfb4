#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "http/http.h"
#include "policy/policy.h"
#include "servers/servers.h"

namespace currantbeam {

/// Names of the headers that gateways add to responses.
namespace response_headers {
constexpr const char* kQueueTime = "currantbeam-waited-us";
constexpr const char* kServer = "currantbeam-server";
constexpr const char* kReroute = "currantbeam-reroute";
}  // namespace response_headers

/// Relays a backend server's response to the client. A small body is buffered
/// and sent at once; a larger one, or one of unknown length, is streamed at the
/// client's pace, so that memory stays bounded.
class ResponseRelay {
 public:
  /// @param deadline  of the request. The response must have ended
  ///   kMaxTimeAfterDeadline after it.
  ResponseRelay(HttpExchange& exchange, const Clock& clock, TimePoint deadline)
      : exchange(exchange),
        clock(clock),
        relay_until(deadline + kMaxTimeAfterDeadline) {}

  /// Captures a copy of the response, up to a size limit. Call before Run.
  auto EnableCapture() -> void { this->capture_enabled = true; }
  /// @return the captured response, or nothing if it exceeded the size limit.
  [[nodiscard]] auto CapturedResponse() const -> std::optional<CachedResponse>;

  /// @param head  the head to send; its framing fields are replaced.
  /// @throws RequestError if the response is truncated or the client has
  /// disconnected.
  auto Run(ResponseReader& source, http::response_header<> head) -> void;

  /// For a large response or a slow client.
  static constexpr auto kMaxTimeAfterDeadline = std::chrono::seconds(30);

 private:
  auto SendBuffered(ResponseReader& source, http::response_header<> head)
      -> void;
  auto Stream(ResponseReader& source, const http::response_header<>& head,
              std::optional<std::uint64_t> length) -> void;
  auto Capture(std::string_view part) -> void;
  /// @return the next part of the body; empty at its end.
  auto ReadPart(ResponseReader& source) -> std::string_view;

  HttpExchange& exchange;
  const Clock& clock;
  TimePoint relay_until;
  bool capture_enabled = false;
  bool capture_complete = true;
  CachedResponse captured;
};

/// Sends the cached response to an earlier request with the same idempotency
/// key, or 409 if its outcome is unknown or its response was too large to
/// cache.
auto SendCachedResponse(HttpExchange& exchange,
                        const IdempotencyCache::LookupResult& lookup) -> void;

/// Sends an error response with the verdict on whether the request was run.
/// @param retry_after  sent as Retry-After, rounded up to seconds, if positive.
auto SendErrorResponse(HttpExchange& exchange, http::status status,
                       Verdict verdict, const std::string& message,
                       Duration retry_after = Duration(0)) -> void;

}  // namespace currantbeam
