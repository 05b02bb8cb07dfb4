#include "standins/wire/wire_backend.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

constexpr auto kPoll = std::chrono::milliseconds(1);
constexpr auto kWatchInterval = std::chrono::milliseconds(20);
/// A clock that moves on by this much at once shows a pause.
constexpr auto kLeastPause = std::chrono::milliseconds(200);
/// What arrived in a pause is read within this time after it.
constexpr auto kBacklog = std::chrono::milliseconds(200);

auto Header(const HttpRequest& request, const char* name) -> std::string {
  const auto value = request[name];
  return {value.data(), value.size()};
}

}  // namespace

auto WireBackend::Handle(HttpExchange& exchange) -> void {
  const std::string target(exchange.Request().target());
  if (target == "/grant" || target == "/release") {
    this->HandleGrant(exchange, target == "/release");
    return;
  }
  this->HandleRequest(exchange);
}

auto WireBackend::WatchForPauses() -> void {
  this->watched_at = this->clock.Now();
  while (true) {
    SleepFor(kWatchInterval);
    const auto now = this->clock.Now();
    if (now - this->watched_at > kLeastPause) {
      this->paused_from = this->watched_at;
      this->resumed_at = now;
    }
    this->watched_at = now;
  }
}

auto WireBackend::ArrivalTime() const -> TimePoint {
  const auto now = this->clock.Now();
  const bool is_watched = this->watched_at != TimePoint{};
  if (is_watched && now - this->watched_at > kLeastPause) {
    return this->watched_at;
  }
  const bool has_resumed =
      this->resumed_at != TimePoint{} && now - this->resumed_at < kBacklog;
  return has_resumed ? this->paused_from : now;
}

auto WireBackend::HandleGrant(HttpExchange& exchange, bool is_release) -> void {
  const auto json = nlohmann::json::parse(exchange.Request().body());
  const auto fence = json.at("fence").get<std::uint64_t>();
  const int first = json.at("from").get<int>();
  const int last = json.at("target").get<int>();
  const std::chrono::duration<double> hold(json.value("holdS", 0.0));
  const auto until =
      this->ArrivalTime() + std::chrono::duration_cast<Duration>(hold);
  for (int key = first; key <= last && !is_release; ++key) {
    if (fence >= this->holds[key].seen) continue;
    exchange.Send(HttpResponse{http::status::conflict, 11});
    return;
  }
  for (int key = first; key <= last; ++key) {
    auto& state = this->holds[key];
    state.seen = std::max(state.seen, fence);
    state.until = is_release ? TimePoint{} : until;
  }
  if (this->events != nullptr && is_release) {
    this->events->OnReleased(first, last, fence);
  } else if (this->events != nullptr) {
    this->events->OnHold(first, last, fence, until - this->clock.Now());
  }
  HttpResponse response{http::status::ok, 11};
  if (is_release) response.set("X-Handover", "from-" + this->id);
  exchange.Send(std::move(response));
}

auto WireBackend::NotRun(HttpExchange& exchange, http::status status) const
    -> void {
  HttpResponse response{status, 11};
  response.set("X-Not-Executed", "1");
  response.set("X-Instance-Id", this->id);
  exchange.Send(std::move(response));
}

auto WireBackend::MayRun(const HttpRequest& request) const -> bool {
  const auto expected = Header(request, "X-Expect-Instance");
  if (!expected.empty() && expected != this->id) return false;
  if (!this->behaviour.is_keyed) return true;
  const auto key =
      std::strtol(Header(request, "X-Shard-Key").c_str(), nullptr, 10);
  const auto hold = this->holds.find(static_cast<int>(key));
  return hold != this->holds.end() && hold->second.until > this->clock.Now();
}

auto WireBackend::HandleRequest(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  if (!this->MayRun(request)) {
    ++this->misdirected;
    this->NotRun(exchange, http::status::misdirected_request);
    return;
  }
  if (this->running >= this->behaviour.slots &&
      this->waiting >= this->behaviour.queue) {
    this->NotRun(exchange, http::status::service_unavailable);
    return;
  }
  ++this->waiting;
  while (this->running >= this->behaviour.slots) SleepFor(kPoll);
  --this->waiting;
  this->RunRequest(exchange, Header(request, "X-Request-Id"));
}

auto WireBackend::RunRequest(HttpExchange& exchange,
                             const std::string& request_id) -> void {
  ++this->running;
  ++this->runs[request_id];
  if (this->events != nullptr) {
    const auto key = Header(exchange.Request(), "X-Shard-Key");
    const int number = key.empty() ? -1 : std::atoi(key.c_str());
    this->events->OnRun(request_id, number);
  }
  this->deadlines.push_back(
      std::atoi(Header(exchange.Request(), "X-Deadline-Ms").c_str()));
  const auto until = this->clock.Now() + this->behaviour.work;
  bool is_gone = false;
  while (this->clock.Now() < until && !is_gone) {
    SleepFor(kPoll);
    is_gone = exchange.IsClientDisconnected();
  }
  --this->running;
  if (is_gone) {
    ++this->abandoned;
    exchange.Abort();
    return;
  }
  this->SendAnswer(exchange, request_id);
}

auto WireBackend::SendAnswer(HttpExchange& exchange,
                             const std::string& request_id) -> void {
  if (this->behaviour.lose_answers > 0) {
    --this->behaviour.lose_answers;
    exchange.Abort();
    return;
  }
  HttpResponse response{http::status::ok, 11};
  response.set("X-Request-Id", request_id);
  response.set("X-Backend-Seal", "seal-of-" + this->id);
  response.body() = std::string(this->behaviour.body_bytes, 'b');
  if (this->behaviour.fail_requests > 0) {
    --this->behaviour.fail_requests;
    response.result(http::status::internal_server_error);
  }
  if (this->behaviour.extra_answers > 0) {
    --this->behaviour.extra_answers;
    auto extra = response;
    extra.set("X-Request-Id", "somebody-else");
    exchange.Send(std::move(extra));
  }
  if (this->behaviour.cut_answers > 0) {
    --this->behaviour.cut_answers;
    exchange.StartBody(response.base(), response.body().size());
    exchange.SendBody(std::string_view(response.body())
                          .substr(0, response.body().size() / 2));
    exchange.Abort();
    return;
  }
  exchange.Send(std::move(response));
}

auto WireBackend::HeldKeys() const -> int {
  const auto now = this->clock.Now();
  return static_cast<int>(std::count_if(
      this->holds.begin(), this->holds.end(),
      [now](const auto& hold) { return hold.second.until > now; }));
}

auto WireBackend::OnBadInput(const std::string& /*what*/) -> void {}

}  // namespace currantbeam
