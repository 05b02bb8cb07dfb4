#include "router/forwarded_request.h"

#include <algorithm>
#include <sstream>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kOwnerPoll = std::chrono::milliseconds(20);
constexpr auto kGrantWait = std::chrono::milliseconds(60);
constexpr auto kLongestOwnerWait = std::chrono::milliseconds(400);
constexpr auto kLeastAttempt = std::chrono::milliseconds(20);
constexpr auto kNotReadyRetry = std::chrono::milliseconds(300);
constexpr auto kNoRoomRetry = std::chrono::milliseconds(200);
/// Clients come back within this part of the time that they have left.
constexpr int kLeftPerWait = 3;
/// Sends of one request, those that servers refused included.
constexpr int kMostSends = 3;

}  // namespace

ForwardedRequest::ForwardedRequest(ForwardingState& state,
                                   HttpExchange& exchange)
    : request(state, exchange) {}

auto ForwardedRequest::Run() -> void {
  if (!this->FindRoute()) return;
  this->ReadDeadline();
  const auto& services = this->request.routes->Config().services;
  this->request.service =
      this->request.state.sequence.Next(*this->request.route);
  const auto spec = services.find(this->request.service);
  this->request.is_keyed = spec != services.end() && spec->second.is_keyed;
  this->request.exchange.SetDisconnectCallback([this] {
    this->request.is_client_gone = true;
    if (this->request.current != nullptr) this->request.current->Cancel();
  });
  this->Forward();
}

auto ForwardedRequest::FindRoute() -> bool {
  if (this->request.routes == nullptr) {
    this->Refuse("no-routes-yet", kNotReadyRetry);
    return false;
  }
  const auto& request = this->request.exchange.Request();
  this->request.route = this->request.routes->Find(
      ToView(request[http::field::host]), ToView(request.target()));
  if (this->request.route != nullptr) return true;
  this->Fail(http::status::not_found, "no-route");
  return false;
}

auto ForwardedRequest::ReadDeadline() -> void {
  const auto& request = this->request.exchange.Request();
  const Duration timeout = this->request.route->timeout;
  Duration patience = timeout;
  const auto header = ToView(request[this->request.state.headers.deadline_ms]);
  if (const auto wait = ParseNumber(header)) {
    patience = std::chrono::milliseconds(*wait);
  }
  this->request.client_deadline = this->request.arrived + patience;
  this->request.deadline = this->request.arrived + std::min(timeout, patience);
}

auto ForwardedRequest::Forward() -> void {
  this->request.state.BudgetOf(this->request.service).OnRequest();
  this->RecordKey();
  while (!this->HasClientLeft()) {
    const auto target = this->ChooseTarget();
    if (target == nullptr) return;
    const auto end = this->TryAt(*target);
    if (end == AttemptEnd::kAnswered) return;
    if (end == AttemptEnd::kClientGone) break;
    if (end == AttemptEnd::kWrongOwner && !this->AwaitOwner(*target)) {
      this->Refuse("owner-unsure", kNotReadyRetry, target.get());
      return;
    }
    this->may_have_run |= end == AttemptEnd::kMayHaveRun;
    if (this->request.is_client_gone) break;
    if (!this->MayRetry(end)) {
      this->GiveUp(end, *target);
      return;
    }
    Log(events::kRetried, {{"request", this->request.RequestId()},
                           {"after", target->entry.id.Value()},
                           {"sends", this->sends}});
  }
  this->Finish(RequestResult::kAbandoned);
  this->request.exchange.Abort();
}

auto ForwardedRequest::HasClientLeft() -> bool {
  // The watch reports it only once the loop comes to wait.
  const bool is_unseen = this->request.state.is_late &&
                         this->request.exchange.IsClientDisconnected();
  this->request.is_client_gone |= is_unseen;
  return this->request.is_client_gone;
}

auto ForwardedRequest::GiveUp(AttemptEnd last, BackendTarget& target) -> void {
  if (last != AttemptEnd::kMayHaveRun) {
    this->Refuse("servers-refused", this->RoomWait(target), &target);
    return;
  }
  const bool is_late = this->request.Left() <= kLeastAttempt;
  this->Fail(
      is_late ? http::status::gateway_timeout : http::status::bad_gateway,
      "no-answer");
}

auto ForwardedRequest::RoomWait(BackendTarget& target) const
    -> std::chrono::milliseconds {
  const auto now = this->request.state.clock.Now();
  const auto left = this->request.client_deadline - now;
  const auto wait = target.returns.Next(now, target.load.AnswerInterval(now),
                                        left / kLeftPerWait);
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

auto ForwardedRequest::RecordKey() -> void {
  const auto key = this->request.Key();
  if (!this->request.is_keyed || !key) return;
  auto& state = this->request.state;
  const auto stripe = state.owners.StripeOf(this->request.service, *key);
  if (stripe) state.loads.OnRequest(this->request.service, *stripe);
}

auto ForwardedRequest::ChooseTarget() -> BackendTargetPtr {
  if (this->request.is_keyed) {
    const auto key = this->request.Key();
    if (key) return this->OwnerTarget(*key);
  }
  auto& state = this->request.state;
  const auto kind = this->request.route->kind;
  const auto& servers = state.directory.Ready(this->request.service);
  auto target = state.chooser.Choose(servers, kind, this->tried);
  if (target == nullptr && this->sends != 0 && !servers.empty()) {
    // All were tried; one of them may serve it yet.
    target = state.chooser.Choose(servers, kind, {});
  }
  if (target == nullptr) {
    this->Refuse(servers.empty() ? "no-server" : "no-room", kNoRoomRetry);
  }
  return target;
}

auto ForwardedRequest::OwnerTarget(int key) -> BackendTargetPtr {
  auto& state = this->request.state;
  const auto* owner = state.owners.Find(this->request.service, key);
  if (owner == nullptr) {
    this->Refuse("no-owner", kNotReadyRetry);
    return nullptr;
  }
  auto target = state.directory.Find(owner->id);
  const bool is_usable = target != nullptr && !target->entry.is_draining &&
                         target->entry.started == owner->started;
  if (!is_usable) {
    state.owners.AskForRead();
    Log(events::kOwnerGone, {{"request", this->request.RequestId()},
                             {"server", owner->id.Value()},
                             {"is_known", target != nullptr}});
    this->Refuse("owner-gone", kNotReadyRetry, target.get());
    return nullptr;
  }
  const auto now = state.clock.Now();
  const bool is_late =
      now + target->load.ExpectedLatency(now) > this->request.deadline;
  if (target->load.IsEjected(now)) {
    this->Refuse("owner-failing", kNoRoomRetry, target.get());
    return nullptr;
  }
  if (is_late || !target->load.Admit()) {
    this->Refuse("owner-busy", this->RoomWait(*target), target.get());
    return nullptr;
  }
  return target;
}

auto ForwardedRequest::TryAt(BackendTarget& target) -> AttemptEnd {
  this->tried.push_back(target.entry.id);
  ServerAttempt attempt(this->request, target);
  const auto end = attempt.Run();
  if (attempt.WasSent()) ++this->sends;
  this->request.state.metrics.OnAttempt(this->request.service, target.entry.id,
                                        end);
  if (end == AttemptEnd::kAnswered) {
    this->LogAnswered(target, attempt.Status());
    this->Finish(RequestResult::kAnswered);
  }
  return end;
}

auto ForwardedRequest::MayRetry(AttemptEnd last) -> bool {
  if (this->sends >= kMostSends) return false;
  const auto& route = *this->request.route;
  const bool is_idempotent = route.kind != RequestKind::kNonIdempotent;
  if (last == AttemptEnd::kMayHaveRun) {
    const auto tries = static_cast<int>(this->tried.size());
    if (!is_idempotent || tries >= route.max_attempts) return false;
  }
  if (this->request.Left() <= kLeastAttempt) return false;
  // An attempt that got no connection has drawn on nobody.
  if (this->sends == 0) return this->tried.size() < kMostSends;
  return this->request.state.BudgetOf(this->request.service).TryRetry();
}

auto ForwardedRequest::AwaitOwner(const BackendTarget& last) -> bool {
  const auto key = this->request.Key();
  if (!this->request.is_keyed || !key) return true;
  auto& state = this->request.state;
  state.owners.AskForRead();
  const auto now = state.clock.Now();
  // A new owner may be known here before its grant has reached it.
  const bool is_first =
      std::count(this->tried.begin(), this->tried.end(), last.entry.id) == 1;
  const bool may_ask_again = is_first && !last.load.IsEjected(now);
  const auto patience = std::min(may_ask_again ? kGrantWait : kLongestOwnerWait,
                                 this->request.Left() / 3);
  while (state.clock.Now() < now + patience && !this->request.is_client_gone) {
    const auto* owner = state.owners.Find(this->request.service, *key);
    if (owner != nullptr && owner->id != last.entry.id) return true;
    SleepFor(kOwnerPoll);
  }
  return may_ask_again;
}

auto ForwardedRequest::Refuse(std::string_view reason,
                              std::chrono::milliseconds retry_after,
                              const BackendTarget* target) -> void {
  if (this->may_have_run) {
    this->Fail(http::status::bad_gateway, reason);
    return;
  }
  HttpResponse response{http::status::service_unavailable, 11};
  std::ostringstream seconds;
  seconds << std::chrono::duration<double>(retry_after).count();
  response.set(http::field::retry_after, seconds.str());
  SetVerdict(response, Verdict::kNotRun);
  response.body() = std::string(reason) + "\n";
  const auto now = this->request.state.clock.Now();
  std::vector<LogField> fields = {{"request", this->request.RequestId()},
                                  {"service", this->request.service.Value()},
                                  {"reason", reason},
                                  {"retry_after_ms", retry_after.count()},
                                  {"sends", this->sends}};
  if (const auto key = this->request.Key()) fields.emplace_back("key", *key);
  if (target != nullptr) {
    const auto& load = target->load;
    fields.emplace_back("server", target->entry.id.Value());
    fields.emplace_back("in_flight", load.InFlight());
    fields.emplace_back("limit", load.Limit());
    fields.emplace_back("expected_us", load.ExpectedLatency(now).count());
    fields.emplace_back("left_us", (this->request.deadline - now).count());
  }
  Log(events::kRefused, fields);
  this->request.state.metrics.OnRefusal(reason);
  this->Finish(RequestResult::kRefused);
  this->request.Answer(std::move(response));
}

auto ForwardedRequest::Fail(http::status status, std::string_view reason)
    -> void {
  HttpResponse response{status, 11};
  SetVerdict(response,
             this->may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun);
  response.body() = std::string(reason) + "\n";
  const auto took = this->request.state.clock.Now() - this->request.arrived;
  Log(events::kFailed, {{"request", this->request.RequestId()},
                        {"service", this->request.service.Value()},
                        {"status", static_cast<unsigned>(status)},
                        {"reason", reason},
                        {"sends", this->sends},
                        {"took_us", took.count()}});
  this->Finish(RequestResult::kFailed);
  this->request.Answer(std::move(response));
}

auto ForwardedRequest::Finish(RequestResult result) -> void {
  const auto took = this->request.state.clock.Now() - this->request.arrived;
  this->request.state.metrics.OnRequest(this->request.service, result, took);
}

auto ForwardedRequest::LogAnswered(const BackendTarget& target,
                                   unsigned status) const -> void {
  if (!IsLogged(events::kRouted)) return;
  const auto took = this->request.state.clock.Now() - this->request.arrived;
  std::vector<LogField> fields = {
      {"request", this->request.RequestId()},
      {"route", this->request.route->prefix},
      {"service", this->request.service.Value()},
      {"routes_version", this->request.routes->Config().version},
      {"server", target.entry.id.Value()},
      {"limit", target.load.Limit()},
      {"sends", this->sends},
      {"status", status},
      {"took_us", took.count()}};
  if (const auto key = this->request.Key()) fields.emplace_back("key", *key);
  Log(events::kRouted, fields);
}

}  // namespace currantbeam
