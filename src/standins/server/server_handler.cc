#include "standins/server/server_handler.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

constexpr std::size_t kChunk = 16 * 1024;
constexpr std::size_t kWholeAnswer = 64 * 1024;

auto HeaderNumber(const HttpRequest& request, const char* name)
    -> std::uint64_t {
  const auto found = request.find(name);
  if (found == request.end()) return 0;
  return std::strtoull(std::string(found->value()).c_str(), nullptr, 10);
}

auto Refuse(HttpExchange& exchange, http::status status, const std::string& why)
    -> void {
  HttpResponse response{status, 11};
  SetExecutionStatus(response, ExecutionStatus::kNotRun);
  response.body() = why;
  exchange.Send(std::move(response));
}

}  // namespace

ServerHandler::ServerHandler(const ServerBehaviour& behaviour,
                             std::uint64_t run)
    : behaviour(behaviour),
      holder(this->clock, run),
      random(run),
      started(this->clock.Now()) {}

auto ServerHandler::OnBadInput(const std::string& what) -> void {
  std::cerr << "bad request: " << what << "\n";
}

auto ServerHandler::Handle(HttpExchange& exchange) -> void {
  const auto target = exchange.Request().target();
  if (target == kGrantPath) return this->TakeGrant(exchange);
  if (target == "/standin/report") return this->Report(exchange);
  if (target == "/standin/behaviour") return this->SetBehaviour(exchange);
  this->Work(exchange);
}

auto ServerHandler::TakeGrant(HttpExchange& exchange) -> void {
  const auto answer =
      this->holder.Accept(DecodeGrant(exchange.Request().body()));
  HttpResponse response{http::status::ok, 11};
  response.body() = EncodeGrantAnswer(answer);
  exchange.Send(std::move(response));
}

auto ServerHandler::Report(HttpExchange& exchange) -> void {
  HttpResponse response{http::status::ok, 11};
  response.body() = nlohmann::json{{"busy_us", this->busy_us},
                                   {"ran", this->ran},
                                   {"refused", this->refused},
                                   {"runs_by_id", this->runs_by_id}}
                        .dump();
  exchange.Send(std::move(response));
}

auto ServerHandler::SetBehaviour(HttpExchange& exchange) -> void {
  const auto wanted = nlohmann::json::parse(exchange.Request().body());
  auto& b = this->behaviour;
  b.slowness = wanted.value("slowness", b.slowness);
  b.straggler_share = wanted.value("straggler_share", b.straggler_share);
  b.truncate = wanted.value("truncate", b.truncate);
  b.lose_answers = wanted.value("lose_answers", b.lose_answers);
  b.answer_bytes = wanted.value("answer_bytes", b.answer_bytes);
  b.queue_limit = wanted.value("queue_limit", b.queue_limit);
  b.work = std::chrono::microseconds(
      wanted.value("work_us", static_cast<std::int64_t>(b.work.count())));
  exchange.Send(HttpResponse{http::status::ok, 11});
}

auto ServerHandler::IsAllowed(const HttpRequest& request) -> bool {
  if (!this->behaviour.checks_tokens) return true;
  const auto token = HeaderNumber(request, backend_headers::kToken);
  const auto slot = HeaderNumber(request, backend_headers::kSlot);
  return this->holder.Allows(token, static_cast<SlotIndex>(slot));
}

auto ServerHandler::TakeSlot() -> bool {
  if (this->busy_slots < this->behaviour.slots) {
    ++this->busy_slots;
    return true;
  }
  if (this->waiting.size() >= this->behaviour.queue_limit) return false;
  SlotWaiter waiter;
  this->waiting.push_back(&waiter);
  waiter.wakeup.Wait();
  return true;
}

auto ServerHandler::FreeSlot() -> void {
  if (this->waiting.empty()) {
    --this->busy_slots;
    return;
  }
  auto* next = this->waiting.front();
  this->waiting.pop_front();
  next->wakeup.Wake();
}

auto ServerHandler::DrawWork(const HttpRequest& request)
    -> std::chrono::microseconds {
  const auto asked = HeaderNumber(request, "x-work-us");
  auto mean = asked != 0 ? static_cast<double>(asked)
                         : static_cast<double>(this->behaviour.work.count());
  std::uniform_real_distribution<double> uniform(0, 1);
  constexpr double kSpread = 0.4;
  mean *= 1 - kSpread / 2 + kSpread * uniform(this->random);
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

auto ServerHandler::Work(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  if (!this->IsAllowed(request)) {
    ++this->refused;
    return Refuse(exchange, http::status::conflict, "not the owner\n");
  }
  if (!this->TakeSlot()) {
    ++this->refused;
    return Refuse(exchange, http::status::service_unavailable, "full\n");
  }
  // The grant may have gone while the request waited here.
  if (!this->IsAllowed(request)) {
    this->FreeSlot();
    ++this->refused;
    return Refuse(exchange, http::status::conflict, "not the owner\n");
  }
  const auto began = this->clock.Now();
  ++this->ran;
  const auto id = request.find("x-request-id");
  if (id != request.end()) ++this->runs_by_id[std::string(id->value())];
  const auto work = this->DrawWork(request);
  if (work.count() != 0) SleepFor(work);
  const auto busy = this->clock.Now() - began;
  this->busy_us += busy.count();
  try {
    this->SendAnswer(exchange, busy);
  } catch (const RequestError&) {
    this->FreeSlot();
    throw;
  }
  this->FreeSlot();
}

auto ServerHandler::SendAnswer(HttpExchange& exchange,
                               std::chrono::microseconds busy) -> void {
  if (this->behaviour.lose_answers) return exchange.Abort();
  const auto asked = HeaderNumber(exchange.Request(), "x-answer-bytes");
  const auto bytes = asked != 0 ? asked : this->behaviour.answer_bytes;
  http::response_header<> head;
  head.result(http::status::ok);
  head.set(http::field::content_type, "application/octet-stream");
  head.set(backend_headers::kBusy, std::to_string(busy.count()));
  if (!this->behaviour.truncate && bytes <= kWholeAnswer) {
    HttpResponse response{std::move(head)};
    response.body() = std::string(bytes, 'x');
    return exchange.Send(std::move(response));
  }
  exchange.StartBody(head, bytes);
  const std::string chunk(kChunk, 'x');
  const auto to_send = this->behaviour.truncate ? bytes / 2 : bytes;
  for (std::size_t sent = 0; sent < to_send;) {
    const auto part = std::min(kChunk, to_send - sent);
    exchange.SendBody(std::string_view(chunk).substr(0, part));
    sent += part;
  }
  if (this->behaviour.truncate) return exchange.Abort();
  exchange.FinishBody();
}

}  // namespace currantbeam
