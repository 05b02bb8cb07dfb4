#include "standins/server/server_handler.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr std::size_t kMaxUnsplitResponseBytes = 64 * 1024;

auto HeaderNumber(const HttpRequest& request, const char* name)
    -> std::uint64_t {
  const auto found = request.find(name);
  if (found == request.end()) return 0;
  return std::strtoull(std::string(found->value()).c_str(), nullptr, 10);
}

auto Reject(HttpExchange& exchange, http::status status,
            const std::string& reason) -> void {
  HttpResponse response{status, 11};
  SetVerdict(response, Verdict::kNotRun);
  response.body() = reason;
  exchange.Send(std::move(response));
}

}  // namespace

ServerHandler::ServerHandler(const ServerBehaviour& behaviour,
                             std::uint64_t run_id)
    : behaviour(behaviour),
      grant_holder(this->clock, run_id),
      random(run_id),
      started(this->clock.Now()) {}

auto ServerHandler::OnBadInput(const std::string& what) -> void {
  std::cerr << "bad request: " << what << "\n";
}

auto ServerHandler::Handle(HttpExchange& exchange) -> void {
  const auto target = exchange.Request().target();
  if (target == kGrantPath) return this->AcceptGrant(exchange);
  if (target == "/standin/report") return this->SendReport(exchange);
  if (target == "/standin/behaviour") return this->SetBehaviour(exchange);
  this->RunRequest(exchange);
}

auto ServerHandler::AcceptGrant(HttpExchange& exchange) -> void {
  const auto answer =
      this->grant_holder.Accept(DecodeGrant(exchange.Request().body()));
  HttpResponse response{http::status::ok, 11};
  response.body() = EncodeGrantAnswer(answer);
  exchange.Send(std::move(response));
}

auto ServerHandler::SendReport(HttpExchange& exchange) -> void {
  HttpResponse response{http::status::ok, 11};
  response.body() = ToJsonText({{"busy_us", this->busy_us},
                                {"ran", this->ran},
                                {"refused", this->refused},
                                {"runs_by_id", this->runs_by_id}});
  exchange.Send(std::move(response));
}

auto ServerHandler::SetBehaviour(HttpExchange& exchange) -> void {
  const auto changes = nlohmann::json::parse(exchange.Request().body());
  auto& settings = this->behaviour;
  settings.slowness = changes.value("slowness", settings.slowness);
  settings.straggler_share =
      changes.value("straggler_share", settings.straggler_share);
  settings.status = changes.value("status", settings.status);
  settings.truncate = changes.value("truncate", settings.truncate);
  settings.lose_answers = changes.value("lose_answers", settings.lose_answers);
  settings.answer_bytes = changes.value("answer_bytes", settings.answer_bytes);
  settings.queue_limit = changes.value("queue_limit", settings.queue_limit);
  settings.work = std::chrono::microseconds(changes.value(
      "work_us", static_cast<std::int64_t>(settings.work.count())));
  exchange.Send(HttpResponse{http::status::ok, 11});
}

auto ServerHandler::IsAllowed(const HttpRequest& request) -> bool {
  if (!this->behaviour.checks_tokens) return true;
  const auto token = HeaderNumber(request, backend_headers::kToken);
  const auto slot = HeaderNumber(request, backend_headers::kSlot);
  return this->grant_holder.Allows(token, static_cast<SlotIndex>(slot));
}

auto ServerHandler::AcquireSlot() -> bool {
  if (this->busy_slots < this->behaviour.slots) {
    ++this->busy_slots;
    return true;
  }
  if (this->slot_queue.size() >= this->behaviour.queue_limit) return false;
  SlotWaiter waiter;
  this->slot_queue.push_back(&waiter);
  waiter.wakeup.Wait();
  return true;
}

auto ServerHandler::ReleaseSlot() -> void {
  if (this->slot_queue.empty()) {
    --this->busy_slots;
    return;
  }
  auto* next = this->slot_queue.front();
  this->slot_queue.pop_front();
  next->wakeup.Wake();
}

auto ServerHandler::SampleWorkTime(const HttpRequest& request)
    -> std::chrono::microseconds {
  const auto requested = HeaderNumber(request, "x-work-us");
  auto mean = requested != 0
                  ? static_cast<double>(requested)
                  : static_cast<double>(this->behaviour.work.count());
  std::uniform_real_distribution<double> uniform(0, 1);
  constexpr double kRelativeSpread = 0.4;
  mean *= 1 - kRelativeSpread / 2 + kRelativeSpread * uniform(this->random);
  if (uniform(this->random) < this->behaviour.straggler_share) {
    mean *= this->behaviour.straggler_factor;
  }
  constexpr double kColdFactor = 4;
  if (this->clock.Now() - this->started < this->behaviour.cold) {
    mean *= kColdFactor;
  }
  return std::chrono::microseconds(
      static_cast<std::int64_t>(mean * this->behaviour.slowness));
}

auto ServerHandler::RunRequest(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  if (!this->IsAllowed(request)) {
    ++this->refused;
    return Reject(exchange, http::status::conflict, "not the owner\n");
  }
  if (!this->AcquireSlot()) {
    ++this->refused;
    return Reject(exchange, http::status::service_unavailable, "full\n");
  }
  // The grant may have expired or moved while the request was queued.
  if (!this->IsAllowed(request)) {
    this->ReleaseSlot();
    ++this->refused;
    return Reject(exchange, http::status::conflict, "not the owner\n");
  }
  const auto started_at = this->clock.Now();
  ++this->ran;
  const auto id = request.find("x-request-id");
  if (id != request.end()) ++this->runs_by_id[std::string(id->value())];
  const auto work = this->SampleWorkTime(request);
  if (work.count() != 0) SleepFor(work);
  const auto busy = this->clock.Now() - started_at;
  this->busy_us += busy.count();
  try {
    this->SendResponse(exchange, busy);
  } catch (const RequestError&) {
    this->ReleaseSlot();
    throw;
  }
  this->ReleaseSlot();
}

auto ServerHandler::SendResponse(HttpExchange& exchange,
                                 std::chrono::microseconds busy) -> void {
  if (this->behaviour.lose_answers) return exchange.Abort();
  const auto requested = HeaderNumber(exchange.Request(), "x-answer-bytes");
  const auto bytes = requested != 0 ? requested : this->behaviour.answer_bytes;
  http::response_header<> head;
  head.result(this->behaviour.status);
  head.set(http::field::content_type, "application/octet-stream");
  head.set(backend_headers::kBusy, std::to_string(busy.count()));
  if (!this->behaviour.truncate && bytes <= kMaxUnsplitResponseBytes) {
    HttpResponse response{std::move(head)};
    response.body() = std::string(bytes, 'x');
    return exchange.Send(std::move(response));
  }
  exchange.StartBody(head, bytes);
  const std::string chunk(kChunkBytes, 'x');
  const auto to_send = this->behaviour.truncate ? bytes / 2 : bytes;
  for (std::size_t sent = 0; sent < to_send;) {
    const auto chunk_bytes = std::min(kChunkBytes, to_send - sent);
    exchange.SendBody(std::string_view(chunk).substr(0, chunk_bytes));
    sent += chunk_bytes;
  }
  if (this->behaviour.truncate) return exchange.Abort();
  exchange.FinishBody();
}

}  // namespace currantbeam
