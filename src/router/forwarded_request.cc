#include "router/forwarded_request.h"

#include <algorithm>
#include <sstream>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kOwnerPollInterval = std::chrono::milliseconds(20);
/// How long AwaitOwner waits before a request is sent again to the same server,
/// which may not have received its grant yet.
constexpr auto kMaxGrantWait = std::chrono::milliseconds(60);
/// How long AwaitOwner waits for the key to be assigned to another server.
constexpr auto kMaxOwnerWait = std::chrono::milliseconds(400);
/// A request with less time than this left is not retried.
constexpr auto kMinAttemptTime = std::chrono::milliseconds(20);
/// Retry-After while the routes or the key's owner are unknown or outdated.
constexpr auto kNotReadyRetryAfter = std::chrono::milliseconds(300);
/// Retry-After while a repetition of a suspect request runs.
constexpr auto kSuspectRetryAfter = std::chrono::milliseconds(300);
/// Retry-After if no server is available.
constexpr auto kNoRoomRetryAfter = std::chrono::milliseconds(200);
/// Retry-After while the process stops; the retry reaches another host.
constexpr auto kStoppingRetryAfter = std::chrono::milliseconds(50);
/// Retry-After is at most the client's remaining time divided by this.
constexpr int kRetryAfterDivisor = 3;
/// The limit on sends of one request, including those that servers refused.
constexpr int kMaxSends = 3;
/// The limit on servers that are chosen for one request and not known to serve.
constexpr int kMaxUnconfirmed = 3;
/// The share of the time left in which a server may respond whether it serves.
constexpr int kConfirmDivisor = 4;

}  // namespace

ForwardedRequest::ForwardedRequest(ForwardingState& state,
                                   HttpExchange& exchange)
    : request(state, exchange) {}

auto ForwardedRequest::Run() -> void {
  if (!this->FindRoute()) return;
  this->ReadDeadline();
  const auto& services = this->request.routes->Config().services;
  this->request.service =
      this->request.state.target_sequence.Next(*this->request.route);
  const auto spec = services.find(this->request.service);
  this->request.is_keyed = spec != services.end() && spec->second.is_keyed;
  this->request.exchange.SetDisconnectCallback([this] {
    this->request.is_client_disconnected = true;
    if (this->request.upstream != nullptr) this->request.upstream->Cancel();
  });
  this->Forward();
  this->quarantine_check.EndTrial();
  this->request.ReleaseRefusedConnections();
}

auto ForwardedRequest::FindRoute() -> bool {
  if (this->request.routes == nullptr) {
    this->Refuse("no-routes-yet", kNotReadyRetryAfter);
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
  Duration max_wait = timeout;
  const auto header = ToView(request[this->request.state.headers.deadline_ms]);
  if (const auto wait = ParseNumber(header)) {
    max_wait = std::chrono::milliseconds(*wait);
  }
  this->request.client_deadline = this->request.arrived_at + max_wait;
  this->request.deadline =
      this->request.arrived_at + std::min(timeout, max_wait);
}

auto ForwardedRequest::Forward() -> void {
  this->request.state.RetryBudgetFor(this->request.service).OnRequest();
  this->RecordKeyLoad();
  while (!this->request.CheckClientDisconnected()) {
    if (this->RefuseIfSuspect()) return;
    const auto target = this->ChooseTarget();
    if (target == nullptr) return;
    if (!this->ConfirmServing(target)) {
      // Another server of the service may serve; a key has one owner.
      if (!this->request.is_keyed &&
          ++this->unconfirmed_count < kMaxUnconfirmed) {
        continue;
      }
      this->Refuse("server-unconfirmed", kNotReadyRetryAfter, target.get());
      return;
    }
    if (this->MayOutlastStop(*target)) {
      this->Refuse("stopping", kStoppingRetryAfter, target.get());
      return;
    }
    const auto outcome = this->RunAttempt(*target);
    if (outcome == AttemptOutcome::kAnswered) return;
    if (outcome == AttemptOutcome::kClientDisconnected) break;
    if (outcome == AttemptOutcome::kWrongOwner && !this->AwaitOwner(*target)) {
      this->Refuse("owner-unsure", kNotReadyRetryAfter, target.get());
      return;
    }
    this->request.may_have_run |= outcome == AttemptOutcome::kMayHaveRun;
    if (this->request.is_client_disconnected) break;
    if (!this->MayRetry(outcome)) {
      this->RespondAfterLastAttempt(outcome, *target);
      return;
    }
    Log(events::kRetried, {{"request", this->request.RequestId()},
                           {"after", target->entry.id.Value()},
                           {"sends", this->request.send_count}});
  }
  this->RecordResult(RequestResult::kAbandoned);
  this->request.exchange.Abort();
}

auto ForwardedRequest::RefuseIfSuspect() -> bool {
  if (this->RefuseIfQuarantined()) return true;
  if (!this->quarantine_check.TryStartTrial()) {
    this->Refuse("suspect", kSuspectRetryAfter);
    return true;
  }
  // It may have been quarantined while the permit was acquired.
  return this->RefuseIfQuarantined();
}

auto ForwardedRequest::RefuseIfQuarantined() -> bool {
  const auto wait = this->quarantine_check.TimeUntilRelease();
  if (!wait) return false;
  this->Refuse("quarantined",
               std::chrono::ceil<std::chrono::milliseconds>(*wait));
  return true;
}

auto ForwardedRequest::MayOutlastStop(const BackendTarget& target) const
    -> bool {
  PlannedSend send;
  send.at = this->request.state.clock.Now();
  send.deadline = this->request.deadline;
  send.expected_latency =
      std::max(target.load.ExpectedLatency(send.at), Duration(kMinAttemptTime));
  send.may_have_run = this->request.may_have_run;
  return !this->request.state.stop.Allows(send);
}

auto ForwardedRequest::RespondAfterLastAttempt(AttemptOutcome last,
                                               BackendTarget& target) -> void {
  if (last != AttemptOutcome::kMayHaveRun) {
    const auto& servers =
        this->request.state.directory.Ready(this->request.service);
    const auto pause = this->request.is_keyed ? this->PauseLeft(target)
                                              : this->PauseLeft(servers);
    this->Refuse("servers-refused",
                 pause.value_or(this->TimeToRetryAfter(target)), &target);
    return;
  }
  const bool is_timed_out = this->request.TimeLeft() <= kMinAttemptTime;
  this->Fail(
      is_timed_out ? http::status::gateway_timeout : http::status::bad_gateway,
      "no-answer");
}

auto ForwardedRequest::TimeToRetryAfter(BackendTarget& target) const
    -> std::chrono::milliseconds {
  const auto now = this->request.state.clock.Now();
  const auto time_left = this->request.client_deadline - now;
  const auto wait = target.retry_scheduler.NextDelay(
      now, target.load.ResponseInterval(now), time_left / kRetryAfterDivisor);
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

auto ForwardedRequest::RecordKeyLoad() -> void {
  const auto key = this->request.Key();
  if (!this->request.is_keyed || !key) return;
  auto& state = this->request.state;
  const auto stripe = state.owners.StripeOf(this->request.service, *key);
  if (stripe) state.loads.OnRequest(this->request.service, *stripe);
}

auto ForwardedRequest::ChooseTarget() -> BackendTargetPtr {
  if (this->request.is_keyed) {
    const auto key = this->request.Key();
    if (key) return this->FindOwnerTarget(*key);
  }
  auto& state = this->request.state;
  const auto kind = this->request.route->kind;
  const auto& servers = state.directory.Ready(this->request.service);
  auto target = state.chooser.Choose(servers, kind, this->tried_servers);
  if (target == nullptr && this->request.send_count != 0 && !servers.empty()) {
    // All servers were tried; one that refused may have capacity now.
    target = state.chooser.Choose(servers, kind, {});
  }
  if (target == nullptr) this->RefuseWithoutServer(servers);
  return target;
}

auto ForwardedRequest::RefuseWithoutServer(
    const std::vector<BackendTargetPtr>& servers) -> void {
  if (const auto pause = this->PauseLeft(servers)) {
    this->Refuse("servers-paused", *pause);
    return;
  }
  this->Refuse(servers.empty() ? "no-server" : "no-room", kNoRoomRetryAfter);
}

auto ForwardedRequest::PauseLeft(const BackendTarget& target) const
    -> std::optional<std::chrono::milliseconds> {
  const auto now = this->request.state.clock.Now();
  if (!target.load.IsPaused(now)) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      target.load.PausedUntil() - now);
}

auto ForwardedRequest::PauseLeft(const std::vector<BackendTargetPtr>& servers)
    const -> std::optional<std::chrono::milliseconds> {
  const auto first = std::min_element(
      servers.begin(), servers.end(),
      [](const BackendTargetPtr& a, const BackendTargetPtr& b) {
        return a->load.PausedUntil() < b->load.PausedUntil();
      });
  if (first == servers.end()) return std::nullopt;
  return this->PauseLeft(**first);
}

auto ForwardedRequest::FindOwnerTarget(int key) -> BackendTargetPtr {
  auto& state = this->request.state;
  const auto* owner = state.owners.Find(this->request.service, key);
  if (owner == nullptr) {
    this->Refuse("no-owner", kNotReadyRetryAfter);
    return nullptr;
  }
  auto target = state.directory.Find(owner->id);
  const bool is_usable = target != nullptr && !target->entry.is_draining &&
                         target->entry.started == owner->started;
  if (!is_usable) {
    state.owners.RequestRead();
    Log(events::kOwnerGone, {{"request", this->request.RequestId()},
                             {"server", owner->id.Value()},
                             {"is_known", target != nullptr}});
    this->Refuse("owner-gone", kNotReadyRetryAfter, target.get());
    return nullptr;
  }
  const auto now = state.clock.Now();
  const bool would_miss_deadline =
      now + target->load.ExpectedLatency(now) > this->request.deadline;
  if (target->load.IsEjected(now)) {
    this->Refuse("owner-failing", kNoRoomRetryAfter, target.get());
    return nullptr;
  }
  if (const auto pause = this->PauseLeft(*target)) {
    this->Refuse("owner-paused", *pause, target.get());
    return nullptr;
  }
  if (would_miss_deadline || !target->load.Admit()) {
    this->Refuse("owner-busy", this->TimeToRetryAfter(*target), target.get());
    return nullptr;
  }
  return target;
}

auto ForwardedRequest::ConfirmServing(const BackendTargetPtr& target) -> bool {
  auto* serving = this->request.state.serving;
  if (serving == nullptr) return true;
  return serving->Confirm(target, this->request.TimeLeft() / kConfirmDivisor);
}

auto ForwardedRequest::RunAttempt(BackendTarget& target) -> AttemptOutcome {
  this->tried_servers.push_back(target.entry.id);
  this->request.server = target.entry.id;
  if (this->request.state.servers_status) {
    this->request.servers_status = this->request.state.servers_status();
  }
  ServerAttempt attempt(this->request, target);
  const auto outcome = attempt.Run();
  this->request.is_sent = false;
  if (attempt.WasSent()) ++this->request.send_count;
  this->request.state.metrics.OnAttempt(this->request.service, target.entry.id,
                                        outcome);
  if (outcome == AttemptOutcome::kAnswered) {
    this->quarantine_check.OnAnswered(target.entry);
    this->LogResponse(target, attempt.Status());
    this->RecordResult(RequestResult::kAnswered);
  }
  if (attempt.HasLostConnection()) {
    this->quarantine_check.OnConnectionLost(target.entry);
  }
  return outcome;
}

auto ForwardedRequest::MayRetry(AttemptOutcome last) -> bool {
  if (this->request.send_count >= kMaxSends) return false;
  const auto& route = *this->request.route;
  const bool is_idempotent = route.kind != RequestKind::kNonIdempotent;
  if (last == AttemptOutcome::kMayHaveRun) {
    const auto attempt_count = static_cast<int>(this->tried_servers.size());
    if (!is_idempotent || attempt_count >= route.max_attempts) return false;
  }
  if (this->request.TimeLeft() <= kMinAttemptTime) return false;
  // Attempts that failed to connect put no load on a server, so they don't
  // count against the retry budget.
  if (this->request.send_count == 0) {
    return this->tried_servers.size() < kMaxSends;
  }
  return this->request.state.RetryBudgetFor(this->request.service).TryRetry();
}

auto ForwardedRequest::AwaitOwner(const BackendTarget& last) -> bool {
  const auto key = this->request.Key();
  if (!this->request.is_keyed || !key) return true;
  auto& state = this->request.state;
  state.owners.RequestRead();
  this->request.phase = RequestPhase::kAwaitingOwner;
  const auto now = state.clock.Now();
  // The owner may be known here before the server has received its grant.
  const bool is_first_attempt =
      std::count(this->tried_servers.begin(), this->tried_servers.end(),
                 last.entry.id) == 1;
  const bool may_resend = is_first_attempt && !last.load.IsEjected(now);
  const auto max_wait = std::min(may_resend ? kMaxGrantWait : kMaxOwnerWait,
                                 this->request.TimeLeft() / 3);
  const auto wait_until = now + max_wait;
  while (state.clock.Now() < std::min(wait_until, this->request.RespondAt()) &&
         !this->request.is_client_disconnected) {
    const auto* owner = state.owners.Find(this->request.service, *key);
    if (owner != nullptr && owner->id != last.entry.id) return true;
    SleepFor(kOwnerPollInterval);
  }
  return may_resend;
}

auto ForwardedRequest::Refuse(std::string_view reason,
                              std::chrono::milliseconds retry_after,
                              const BackendTarget* target) -> void {
  if (this->request.may_have_run) {
    this->Fail(http::status::bad_gateway, reason);
    return;
  }
  HttpResponse response{http::status::service_unavailable, 11};
  std::ostringstream retry_after_s;
  retry_after_s << std::chrono::duration<double>(retry_after).count();
  response.set(http::field::retry_after, retry_after_s.str());
  SetVerdict(response, Verdict::kNotRun);
  response.body() = std::string(reason) + "\n";
  const auto now = this->request.state.clock.Now();
  std::vector<LogField> fields = {{"request", this->request.RequestId()},
                                  {"service", this->request.service.Value()},
                                  {"reason", reason},
                                  {"retry_after_ms", retry_after.count()},
                                  {"sends", this->request.send_count}};
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
  this->RecordResult(RequestResult::kRefused);
  this->request.Respond(std::move(response));
}

auto ForwardedRequest::Fail(http::status status, std::string_view reason)
    -> void {
  HttpResponse response{status, 11};
  SetVerdict(response, this->request.may_have_run ? Verdict::kMayHaveRun
                                                  : Verdict::kNotRun);
  response.body() = std::string(reason) + "\n";
  const auto took = this->request.state.clock.Now() - this->request.arrived_at;
  Log(events::kFailed, {{"request", this->request.RequestId()},
                        {"service", this->request.service.Value()},
                        {"status", static_cast<unsigned>(status)},
                        {"reason", reason},
                        {"sends", this->request.send_count},
                        {"took_us", took.count()}});
  this->RecordResult(RequestResult::kFailed);
  this->request.Respond(std::move(response));
}

auto ForwardedRequest::RecordResult(RequestResult result) -> void {
  const auto took = this->request.state.clock.Now() - this->request.arrived_at;
  this->request.state.metrics.OnRequest(this->request.service, result, took);
}

auto ForwardedRequest::LogResponse(const BackendTarget& target,
                                   unsigned status) const -> void {
  if (!IsLogged(events::kRouted)) return;
  const auto took = this->request.state.clock.Now() - this->request.arrived_at;
  std::vector<LogField> fields = {
      {"request", this->request.RequestId()},
      {"route", this->request.route->prefix},
      {"service", this->request.service.Value()},
      {"routes_version", this->request.routes->Config().version},
      {"server", target.entry.id.Value()},
      {"limit", target.load.Limit()},
      {"sends", this->request.send_count},
      {"status", status},
      {"took_us", took.count()}};
  this->request.AppendServersStatus(fields);
  if (const auto key = this->request.Key()) fields.emplace_back("key", *key);
  Log(events::kRouted, fields);
}

}  // namespace currantbeam
