#include "gateway/response_relay.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

constexpr std::uint64_t kWholeAnswerBytes = 64 * 1024;
constexpr std::size_t kRememberedBytes = 16 * 1024;
/// How long a server may pause in the middle of an answer.
constexpr auto kPartTimeout = std::chrono::milliseconds(30'000);

}  // namespace

auto AnswerRelay::Remembered() const -> std::optional<CachedResponse> {
  if (!this->is_whole) return std::nullopt;
  return this->kept;
}

auto AnswerRelay::Keep(std::string_view part) -> void {
  if (!this->remembers || !this->is_whole) return;
  if (this->kept.body.size() + part.size() > kRememberedBytes) {
    this->is_whole = false;
    this->kept.body.clear();
    return;
  }
  this->kept.body.append(part);
}

auto AnswerRelay::Run(ResponseReader& source, http::response_header<> head)
    -> void {
  head.erase(http::field::connection);
  head.erase(http::field::transfer_encoding);
  head.erase(http::field::content_length);
  head.erase(http::field::trailer);
  this->kept.status = static_cast<int>(head.result_int());
  this->kept.content_type = std::string(head[http::field::content_type]);
  const auto length = source.BodyLength();
  if (length.has_value() && *length <= kWholeAnswerBytes) {
    this->SendWhole(source, std::move(head));
  } else {
    this->Stream(source, head, length);
  }
}

auto AnswerRelay::SendWhole(ResponseReader& source,
                            http::response_header<> head) -> void {
  HttpResponse response{std::move(head)};
  while (true) {
    const auto part = source.ReadBody(kPartTimeout);
    if (part.empty()) break;
    response.body().append(part);
  }
  this->Keep(response.body());
  this->exchange.Send(std::move(response));
}

auto AnswerRelay::Stream(ResponseReader& source,
                         const http::response_header<>& head,
                         std::optional<std::uint64_t> length) -> void {
  this->exchange.StartBody(head, length);
  while (true) {
    const auto part = source.ReadBody(kPartTimeout);
    if (part.empty()) break;
    this->Keep(part);
    this->exchange.SendBody(part);
  }
  this->exchange.FinishBody();
}

auto SendRemembered(HttpExchange& exchange,
                    const IdempotencyCache::LookupResult& found) -> void {
  if (found.state == IdempotencyCache::State::kCompleted &&
      !found.cached_response) {
    SendFailure(exchange, http::status::conflict, ExecutionStatus::kRan,
                "the request with this idempotency key ran; its answer was "
                "too large to be kept");
    return;
  }
  if (!found.cached_response) {
    SendFailure(exchange, http::status::conflict, ExecutionStatus::kMayHaveRun,
                "a request with this idempotency key was sent and its outcome "
                "is not known");
    return;
  }
  HttpResponse response{
      static_cast<http::status>(found.cached_response->status), 11};
  SetExecutionStatus(response, ExecutionStatus::kRan);
  response.set("currantbeam-replayed", "1");
  if (!found.cached_response->content_type.empty()) {
    response.set(http::field::content_type,
                 found.cached_response->content_type);
  }
  response.body() = found.cached_response->body;
  exchange.Send(std::move(response));
}

auto SendFailure(HttpExchange& exchange, http::status status,
                 ExecutionStatus verdict, const std::string& what,
                 Duration retry_after) -> void {
  HttpResponse response{status, 11};
  SetExecutionStatus(response, verdict);
  response.set(http::field::content_type, "text/plain");
  if (retry_after > Duration(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  response.body() = what + " (" + std::string(ToString(verdict)) + ")\n";
  exchange.Send(std::move(response));
}

}  // namespace currantbeam
