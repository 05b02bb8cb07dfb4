#include "gateway/response_relay.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

constexpr std::uint64_t kMaxBufferedResponseBytes = 64 * 1024;
constexpr std::size_t kMaxCachedBodyBytes = 16 * 1024;

}  // namespace

auto ResponseRelay::CapturedResponse() const -> std::optional<CachedResponse> {
  if (!this->capture_complete) return std::nullopt;
  return this->captured;
}

auto ResponseRelay::Capture(std::string_view part) -> void {
  if (!this->capture_enabled || !this->capture_complete) return;
  if (this->captured.body.size() + part.size() > kMaxCachedBodyBytes) {
    this->capture_complete = false;
    this->captured.body.clear();
    return;
  }
  this->captured.body.append(part);
}

auto ResponseRelay::Run(ResponseReader& source, http::response_header<> head)
    -> void {
  head.erase(http::field::connection);
  head.erase(http::field::transfer_encoding);
  head.erase(http::field::content_length);
  head.erase(http::field::trailer);
  this->captured.status = static_cast<int>(head.result_int());
  this->captured.content_type = std::string(head[http::field::content_type]);
  const auto length = source.BodyLength();
  if (length.has_value() && *length <= kMaxBufferedResponseBytes) {
    this->SendBuffered(source, std::move(head));
  } else {
    this->Stream(source, head, length);
  }
}

auto ResponseRelay::ReadPart(ResponseReader& source) -> std::string_view {
  return source.ReadBody(std::chrono::ceil<std::chrono::milliseconds>(
      this->relay_until - this->clock.Now()));
}

auto ResponseRelay::SendBuffered(ResponseReader& source,
                                 http::response_header<> head) -> void {
  HttpResponse response{std::move(head)};
  while (true) {
    const auto part = this->ReadPart(source);
    if (part.empty()) break;
    response.body().append(part);
  }
  this->Capture(response.body());
  this->exchange.Send(std::move(response));
}

auto ResponseRelay::Stream(ResponseReader& source,
                           const http::response_header<>& head,
                           std::optional<std::uint64_t> length) -> void {
  this->exchange.StartBody(head, length);
  while (true) {
    const auto part = this->ReadPart(source);
    if (part.empty()) break;
    this->Capture(part);
    this->exchange.SendBody(part);
  }
  this->exchange.FinishBody();
}

auto SendCachedResponse(HttpExchange& exchange,
                        const IdempotencyCache::LookupResult& lookup) -> void {
  if (lookup.state == IdempotencyCache::State::kCompleted &&
      !lookup.cached_response) {
    SendErrorResponse(
        exchange, http::status::conflict, Verdict::kRan,
        "the request with this idempotency key ran; its answer was "
        "too large to be kept");
    return;
  }
  if (!lookup.cached_response) {
    SendErrorResponse(
        exchange, http::status::conflict, Verdict::kMayHaveRun,
        "a request with this idempotency key was sent and its outcome "
        "is not known");
    return;
  }
  HttpResponse response{
      static_cast<http::status>(lookup.cached_response->status), 11};
  SetVerdict(response, Verdict::kRan);
  response.set("currantbeam-replayed", "1");
  if (!lookup.cached_response->content_type.empty()) {
    response.set(http::field::content_type,
                 lookup.cached_response->content_type);
  }
  response.body() = lookup.cached_response->body;
  exchange.Send(std::move(response));
}

auto SendErrorResponse(HttpExchange& exchange, http::status status,
                       Verdict verdict, const std::string& message,
                       Duration retry_after) -> void {
  HttpResponse response{status, 11};
  SetVerdict(response, verdict);
  response.set(http::field::content_type, "text/plain");
  if (retry_after > Duration(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  response.body() = message + " (" + std::string(ToString(verdict)) + ")\n";
  exchange.Send(std::move(response));
}

}  // namespace currantbeam
