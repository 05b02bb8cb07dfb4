#include "standins/wire/wire_backend.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(1);
constexpr auto kPauseCheckInterval = std::chrono::milliseconds(20);
/// The process was paused if more than this passes between two checks.
constexpr auto kMinPause = std::chrono::milliseconds(200);
/// Requests that arrived during a pause are read within this time after it.
constexpr auto kBacklogReadTime = std::chrono::milliseconds(200);
constexpr const char* kDeadlyPath = "/deadly";

auto Header(const HttpRequest& request, const char* name) -> std::string {
  const auto value = request[name];
  return {value.data(), value.size()};
}

}  // namespace

auto WireBackend::Handle(HttpExchange& exchange) -> void {
  const std::string target(exchange.Request().target());
  if (target == "/grant" || target == "/release") {
    this->HandleGrantOrRelease(exchange, target == "/release");
    return;
  }
  if (target == "/health") {
    this->HandleHealthCheck(exchange);
    return;
  }
  this->HandleRequest(exchange);
}

auto WireBackend::DetectPauses() -> void {
  this->last_check = this->clock.Now();
  while (true) {
    SleepFor(kPauseCheckInterval);
    const auto now = this->clock.Now();
    if (now - this->last_check > kMinPause) {
      this->pause_start = this->last_check;
      this->pause_end = now;
    }
    this->last_check = now;
  }
}

auto WireBackend::EarliestArrivalTime() const -> TimePoint {
  const auto now = this->clock.Now();
  const bool is_checking = this->last_check != TimePoint{};
  if (is_checking && now - this->last_check > kMinPause) {
    return this->last_check;
  }
  const bool is_reading_backlog = this->pause_end != TimePoint{} &&
                                  now - this->pause_end < kBacklogReadTime;
  return is_reading_backlog ? this->pause_start : now;
}

auto WireBackend::HandleGrantOrRelease(HttpExchange& exchange, bool is_release)
    -> void {
  if (!this->IsExpected(exchange.Request())) {
    this->SendNotExecuted(exchange, http::status::misdirected_request);
    return;
  }
  const auto json = nlohmann::json::parse(exchange.Request().body());
  const auto token = json.at("fence").get<std::uint64_t>();
  const int first = json.at("from").get<int>();
  const int last = json.at("target").get<int>();
  const std::chrono::duration<double> lease_duration(json.value("holdS", 0.0));
  const auto expires_at = this->EarliestArrivalTime() +
                          std::chrono::duration_cast<Duration>(lease_duration);
  for (int key = first; key <= last && !is_release; ++key) {
    if (token >= this->leases[key].highest_token) continue;
    exchange.Send(HttpResponse{http::status::conflict, 11});
    return;
  }
  for (int key = first; key <= last; ++key) {
    auto& state = this->leases[key];
    state.highest_token = std::max(state.highest_token, token);
    state.expires_at = is_release ? TimePoint{} : expires_at;
  }
  if (this->observer != nullptr && is_release) {
    this->observer->OnGrantReleased(first, last, token);
  } else if (this->observer != nullptr) {
    this->observer->OnGrantAccepted(first, last, token,
                                    expires_at - this->clock.Now());
  }
  HttpResponse response{http::status::ok, 11};
  response.set("X-Request-Id", Header(exchange.Request(), "X-Request-Id"));
  if (is_release) response.set("X-Handover", "from-" + this->id);
  exchange.Send(std::move(response));
}

auto WireBackend::SendNotExecuted(HttpExchange& exchange,
                                  http::status status) const -> void {
  HttpResponse response{status, 11};
  response.set("X-Not-Executed", "1");
  response.set("X-Instance-Id", this->id);
  const auto request_id = Header(exchange.Request(), "X-Request-Id");
  if (!request_id.empty()) response.set("X-Request-Id", request_id);
  this->AddServerState(response);
  exchange.Send(std::move(response));
}

auto WireBackend::AddServerState(HttpResponse& response) const -> void {
  if (this->behaviour.is_leaving) response.set("Server-Leaving", "1");
  const bool is_rejection =
      response.result() == http::status::service_unavailable;
  if (is_rejection && !this->behaviour.retry_after.empty()) {
    response.set(http::field::retry_after, this->behaviour.retry_after);
  }
}

auto WireBackend::IsExpected(const HttpRequest& request) const -> bool {
  const auto expected = Header(request, "X-Expect-Instance");
  return expected.empty() || expected == this->id;
}

auto WireBackend::MayRun(const HttpRequest& request) const -> bool {
  if (!this->IsExpected(request)) return false;
  if (!this->behaviour.is_keyed) return true;
  const auto key =
      std::strtol(Header(request, "X-Shard-Key").c_str(), nullptr, 10);
  const auto lease = this->leases.find(static_cast<int>(key));
  return lease != this->leases.end() &&
         lease->second.expires_at > this->clock.Now();
}

auto WireBackend::HandleRequest(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  if (!this->MayRun(request)) {
    ++this->misdirected;
    this->SendNotExecuted(exchange, http::status::misdirected_request);
    return;
  }
  const bool is_full = this->running >= this->behaviour.slots &&
                       this->waiting >= this->behaviour.queue_limit;
  if (is_full || this->behaviour.reject_requests > 0) {
    if (!is_full) --this->behaviour.reject_requests;
    this->SendNotExecuted(exchange, http::status::service_unavailable);
    return;
  }
  if (!this->AwaitSlot(request)) {
    this->SendNotExecuted(exchange, http::status::service_unavailable);
    return;
  }
  this->RunRequest(exchange, Header(request, "X-Request-Id"));
}

auto WireBackend::HandleHealthCheck(HttpExchange& exchange) -> void {
  const bool serves =
      this->AwaitSlot(exchange.Request()) && !this->behaviour.is_leaving;
  HttpResponse response{
      serves ? http::status::ok : http::status::service_unavailable, 11};
  response.set("X-Instance-Id", this->id);
  exchange.Send(std::move(response));
}

auto WireBackend::AwaitSlot(const HttpRequest& request) -> bool {
  const auto deadline_ms =
      std::strtol(Header(request, "X-Deadline-Ms").c_str(), nullptr, 10);
  const auto wait_until =
      deadline_ms > 0
          ? this->clock.Now() + std::chrono::milliseconds(deadline_ms)
          : TimePoint::max();
  ++this->waiting;
  while (this->running >= this->behaviour.slots &&
         this->clock.Now() < wait_until) {
    SleepFor(kPollInterval);
  }
  --this->waiting;
  return this->running < this->behaviour.slots;
}

auto WireBackend::RunRequest(HttpExchange& exchange,
                             const std::string& request_id) -> void {
  ++this->running;
  ++this->runs[request_id];
  if (this->observer != nullptr) {
    const auto key = Header(exchange.Request(), "X-Shard-Key");
    const int number = key.empty() ? -1 : std::atoi(key.c_str());
    this->observer->OnRequestRun(request_id, number);
  }
  this->deadlines_ms.push_back(
      std::atoi(Header(exchange.Request(), "X-Deadline-Ms").c_str()));
  const bool is_deadly =
      exchange.Request().target().find(kDeadlyPath) != boost::string_view::npos;
  if (is_deadly && this->crash) {
    --this->running;
    this->crash();
    exchange.Abort();
    return;
  }
  const auto finish_at = this->clock.Now() + this->behaviour.work;
  bool is_client_gone = false;
  while (this->clock.Now() < finish_at && !is_client_gone) {
    SleepFor(kPollInterval);
    is_client_gone = exchange.IsClientDisconnected();
  }
  --this->running;
  if (is_client_gone) {
    ++this->abandoned;
    exchange.Abort();
    return;
  }
  this->SendResponse(exchange, request_id);
}

auto WireBackend::SendResponse(HttpExchange& exchange,
                               const std::string& request_id) -> void {
  if (this->behaviour.drop_responses > 0) {
    --this->behaviour.drop_responses;
    exchange.Abort();
    return;
  }
  HttpResponse response{http::status::ok, 11};
  response.set("X-Request-Id", request_id);
  response.set("X-Backend-Seal", "seal-of-" + this->id);
  this->AddServerState(response);
  response.body() = std::string(this->behaviour.body_bytes, 'b');
  if (this->behaviour.fail_requests > 0) {
    --this->behaviour.fail_requests;
    response.result(http::status::internal_server_error);
  }
  if (this->behaviour.stray_responses > 0) {
    --this->behaviour.stray_responses;
    auto extra = response;
    extra.set("X-Request-Id", "somebody-else");
    exchange.Send(std::move(extra));
  }
  if (this->behaviour.truncate_responses > 0) {
    --this->behaviour.truncate_responses;
    exchange.StartBody(response.base(), response.body().size());
    exchange.SendBody(std::string_view(response.body())
                          .substr(0, response.body().size() / 2));
    exchange.Abort();
    return;
  }
  exchange.Send(std::move(response));
}

auto WireBackend::LeasedKeyCount() const -> int {
  const auto now = this->clock.Now();
  return static_cast<int>(std::count_if(
      this->leases.begin(), this->leases.end(),
      [now](const auto& lease) { return lease.second.expires_at > now; }));
}

auto WireBackend::OnBadInput(const std::string& /*what*/) -> void {}

}  // namespace currantbeam
