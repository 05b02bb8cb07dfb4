#include "router/forwarded_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "core/events.h"

namespace currantbeam {
namespace {

/// Answers up to this size are read whole before the caller gets them, so
/// that one that breaks off can be asked for again.
constexpr std::size_t kBufferedBody = 48 * 1024;
constexpr auto kConnectTimeout = std::chrono::milliseconds(400);
constexpr auto kQuickReset = std::chrono::milliseconds(30);
constexpr auto kOwnerPoll = std::chrono::milliseconds(20);
constexpr auto kGrantWait = std::chrono::milliseconds(60);
constexpr auto kLongestOwnerWait = std::chrono::milliseconds(400);
constexpr auto kLeastAttempt = std::chrono::milliseconds(20);
/// A stream that goes on past the deadline is given this much more.
constexpr auto kStreamGrace = std::chrono::milliseconds(250);
constexpr auto kNotReadyRetry = std::chrono::milliseconds(300);
constexpr auto kNoRoomRetry = std::chrono::milliseconds(200);
/// Sends of one request, those that servers refused included.
constexpr int kMostSends = 3;

/// Headers that concern one connection only.
constexpr std::array<http::field, 8> kHopByHop = {
    http::field::connection,       http::field::keep_alive,
    http::field::proxy_connection, http::field::te,
    http::field::trailer,          http::field::transfer_encoding,
    http::field::upgrade,          http::field::content_length};

auto IsHopByHop(http::field name) -> bool {
  return std::find(kHopByHop.begin(), kHopByHop.end(), name) != kHopByHop.end();
}

auto CopyEndToEnd(const HttpFields& from, HttpFields& to) -> void {
  // Headers that the sender names in Connection end at this hop as well.
  auto named = http::token_list(from[http::field::connection]);
  for (const auto& field : from) {
    if (IsHopByHop(field.name())) continue;
    if (named.exists(field.name_string())) continue;
    to.insert(field.name(), field.name_string(), field.value());
  }
}

auto ParseNumber(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

auto View(boost::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

auto ToMillis(Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

ForwardedRequest::ForwardedRequest(ForwardingState& state,
                                   HttpExchange& exchange)
    : state(state),
      exchange(exchange),
      arrived(state.clock.Now()),
      deadline(arrived),
      routes(state.routes) {}

auto ForwardedRequest::Run() -> void {
  if (this->routes == nullptr) {
    this->Refuse("no-routes-yet", kNotReadyRetry);
    return;
  }
  const auto& request = this->exchange.Request();
  this->route = this->routes->Find(View(request[http::field::host]),
                                   View(request.target()));
  if (this->route == nullptr) {
    this->Fail(http::status::not_found, "no-route");
    return;
  }
  this->ReadDeadline();
  this->service = this->state.sequence.Next(*this->route);
  const auto spec = this->routes->Config().services.find(this->service);
  this->is_keyed =
      spec != this->routes->Config().services.end() && spec->second.is_keyed;
  this->exchange.WatchClient([this] {
    this->is_client_gone = true;
    if (this->current != nullptr) this->current->Cancel();
  });
  this->Forward();
}

auto ForwardedRequest::ReadDeadline() -> void {
  const auto& request = this->exchange.Request();
  Duration allowed = this->route->timeout;
  const auto header = View(request[this->state.headers.deadline_ms]);
  if (const auto wait = ParseNumber(header)) {
    allowed = std::min<Duration>(allowed, std::chrono::milliseconds(*wait));
  }
  this->deadline = this->arrived + allowed;
}

auto ForwardedRequest::Forward() -> void {
  this->state.BudgetOf(this->service).OnRequest();
  this->RecordKey();
  while (true) {
    // The watch reports it only once the loop comes to wait.
    this->is_client_gone |=
        this->state.is_late && this->exchange.IsClientGone();
    if (this->is_client_gone) {
      this->exchange.Abort();
      return;
    }
    const auto target = this->ChooseTarget();
    if (target == nullptr) return;
    const auto attempt = this->TryAt(target);
    switch (attempt) {
      case Attempt::kAnswered:
        return;
      case Attempt::kClientGone:
        this->exchange.Abort();
        return;
      case Attempt::kWrongOwner:
        if (!this->AwaitOwner(*target)) {
          this->Refuse("owner-unsure", kNotReadyRetry);
          return;
        }
        break;
      case Attempt::kNotRun:
      case Attempt::kMayHaveRun:
        break;
    }
    this->may_have_run |= attempt == Attempt::kMayHaveRun;
    if (this->MayRetry(attempt)) {
      Log(events::kRetried, "request=" + std::string(this->RequestId()) +
                                " after=" + target->entry.id.Value());
      continue;
    }
    if (attempt == Attempt::kMayHaveRun) {
      const bool is_late = this->Left() <= kLeastAttempt;
      this->Fail(
          is_late ? http::status::gateway_timeout : http::status::bad_gateway,
          "no-answer");
    } else {
      this->Refuse("servers-refused", kNoRoomRetry);
    }
    return;
  }
}

auto ForwardedRequest::RecordKey() -> void {
  const auto key = this->Key();
  if (!this->is_keyed || !key) return;
  const auto stripe = this->state.owners.StripeOf(this->service, *key);
  if (stripe) this->state.loads.OnRequest(this->service, *stripe);
}

auto ForwardedRequest::ChooseTarget() -> BackendTargetPtr {
  if (this->is_keyed) {
    const auto key = this->Key();
    if (key) return this->OwnerTarget(*key);
  }
  const auto& servers = this->state.directory.Ready(this->service);
  auto target =
      this->state.chooser.Choose(servers, this->route->kind, this->tried);
  if (target == nullptr && this->sends != 0 && !servers.empty()) {
    // All were tried; one of them may serve it yet.
    target = this->state.chooser.Choose(servers, this->route->kind, {});
  }
  if (target == nullptr) {
    this->Refuse(servers.empty() ? "no-server" : "no-room", kNoRoomRetry);
  }
  return target;
}

auto ForwardedRequest::OwnerTarget(int key) -> BackendTargetPtr {
  const auto* owner = this->state.owners.Find(this->service, key);
  if (owner == nullptr) {
    this->Refuse("no-owner", kNotReadyRetry);
    return nullptr;
  }
  auto target = this->state.directory.Find(owner->id);
  const bool is_usable = target != nullptr && !target->entry.is_draining &&
                         target->entry.started == owner->started;
  if (!is_usable) {
    this->state.owners.AskForRead();
    this->Refuse("owner-gone", kNotReadyRetry);
    return nullptr;
  }
  const auto now = this->state.clock.Now();
  const bool is_late = now + target->load.ExpectedLatency(now) > this->deadline;
  if (target->load.IsEjected(now) || is_late || !target->load.Admit()) {
    this->Refuse("owner-busy", kNoRoomRetry);
    return nullptr;
  }
  return target;
}

auto ForwardedRequest::TryAt(const BackendTargetPtr& target) -> Attempt {
  const auto sent = this->state.clock.Now();
  auto& load = target->load;
  auto& pool = ConnectionPool::Current();
  const auto& entry = target->entry;
  this->tried.push_back(entry.id);
  load.OnSent();
  std::unique_ptr<HttpConnection> connection;
  try {
    connection = pool.Take(entry.address, entry.port,
                           std::min(kConnectTimeout, this->Left()));
  } catch (const RequestError& error) {
    load.OnFailure(this->state.clock.Now());
    Log(events::kFailed, "request=" + std::string(this->RequestId()) +
                             " server=" + entry.id.Value() + " error=\"" +
                             error.what() + "\"");
    return Attempt::kNotRun;
  }
  if (this->is_client_gone) {
    load.OnAbandoned();
    return Attempt::kClientGone;
  }
  this->current = connection.get();
  ++this->sends;
  try {
    const auto attempt = this->Exchange(*target, *connection, sent);
    this->current = nullptr;
    pool.Give(entry.address, entry.port, std::move(connection));
    return attempt;
  } catch (const RequestError& error) {
    this->current = nullptr;
    if (this->is_client_gone) {
      load.OnAbandoned();
      return Attempt::kClientGone;
    }
    const auto now = this->state.clock.Now();
    // A full server resets connections at once.
    const bool may_be_full = now - sent < kQuickReset;
    if (may_be_full) {
      load.OnRefused(now);
    } else {
      load.OnFailure(now);
    }
    Log(events::kFailed, "request=" + std::string(this->RequestId()) +
                             " server=" + entry.id.Value() + " error=\"" +
                             error.what() + "\"");
    return Attempt::kMayHaveRun;
  } catch (...) {
    this->current = nullptr;
    throw;
  }
}

auto ForwardedRequest::BuildRequest(const BackendTarget& target) const
    -> HttpRequest {
  const auto& request = this->exchange.Request();
  HttpRequest built{request.method(), request.target(), 11};
  if (request.method() == http::verb::unknown) {
    built.method_string(request.method_string());
  }
  CopyEndToEnd(request, built);
  built.set(this->state.headers.deadline_ms,
            std::to_string(std::max<std::int64_t>(this->Left().count(), 1)));
  built.set(this->state.headers.server_id, target.entry.id.Value());
  built.body() = request.body();
  built.prepare_payload();
  return built;
}

auto ForwardedRequest::Exchange(BackendTarget& target,
                                HttpConnection& connection, TimePoint sent)
    -> Attempt {
  connection.Send(this->BuildRequest(target), this->Left());
  this->ReadOwnAnswer(connection);
  const auto status = static_cast<unsigned>(connection.Head().result_int());
  const bool is_not_run =
      !connection.Field(this->state.headers.not_run).empty();
  const bool is_misdirected =
      status == static_cast<unsigned>(http::status::misdirected_request);
  if (is_misdirected || is_not_run) {
    while (!connection.ReadBody(this->Left()).empty()) {
    }
    return this->NoteRefusal(target, connection, status);
  }
  if (!this->IsUsableAnswer(connection)) {
    throw RequestError(Verdict::kMayHaveRun, "answer without its marks");
  }
  return this->Deliver(target, connection, sent);
}

auto ForwardedRequest::NoteRefusal(BackendTarget& target,
                                   HttpConnection& connection, unsigned status)
    -> Attempt {
  const auto now = this->state.clock.Now();
  const auto answering = connection.Field(this->state.headers.answering_id);
  const bool is_other =
      !answering.empty() && answering != target.entry.id.Value();
  if (is_other) {
    target.load.OnReplaced(now);
    return this->is_keyed ? Attempt::kWrongOwner : Attempt::kNotRun;
  }
  target.load.OnRefused(now);
  const bool is_wrong_owner =
      status == static_cast<unsigned>(http::status::misdirected_request);
  return is_wrong_owner ? Attempt::kWrongOwner : Attempt::kNotRun;
}

auto ForwardedRequest::ReadOwnAnswer(HttpConnection& connection) -> void {
  const bool is_head = this->exchange.Request().method() == http::verb::head;
  while (true) {
    connection.ReadHead(is_head, this->Left());
    const auto id = connection.Field(this->state.headers.request_id);
    if (id.empty() || id == this->RequestId()) return;
    // An answer to an earlier request; the one to this may follow it.
    while (!connection.ReadBody(this->Left()).empty()) {
    }
  }
}

auto ForwardedRequest::IsUsableAnswer(HttpConnection& connection) const
    -> bool {
  const auto status = connection.Head().result_int();
  if (status < 200 || status >= 300) return true;
  const bool is_sealed = !connection.Field(this->state.headers.seal).empty();
  const bool is_own =
      connection.Field(this->state.headers.request_id) == this->RequestId();
  const bool is_plain = connection.Field("Content-Encoding").empty();
  return is_sealed && is_own && is_plain;
}

auto ForwardedRequest::Deliver(BackendTarget& target,
                               HttpConnection& connection, TimePoint sent)
    -> Attempt {
  std::string body;
  const auto length = connection.BodyLength();
  const bool is_large = length && *length > kBufferedBody;
  bool is_whole = false;
  while (!is_large && body.size() <= kBufferedBody) {
    const auto part = connection.ReadBody(this->Left());
    is_whole = part.empty();
    if (is_whole) break;
    body.append(part);
  }
  const auto status = connection.Head().result_int();
  const auto now = this->state.clock.Now();
  const auto latency = now - sent;
  const bool is_failure = status >= 500;
  if (is_failure) {
    target.load.OnFailure(now);
  } else {
    target.load.OnAnswer(now, latency, this->route->latency_target);
    if (this->is_keyed) {
      this->state.loads.OnAnswer(this->service, target.entry.id, latency);
    }
  }
  if (!is_whole) return this->Stream(connection, body);
  HttpResponse response;
  response.result(status);
  CopyEndToEnd(connection.Head(), response);
  response.body() = std::move(body);
  this->Answer(std::move(response));
  return Attempt::kAnswered;
}

auto ForwardedRequest::Answer(HttpResponse response) -> void {
  this->exchange.WatchClient(nullptr);
  try {
    this->exchange.Send(std::move(response));
  } catch (const RequestError&) {
    this->exchange.Abort();
  }
}

auto ForwardedRequest::Stream(HttpConnection& connection,
                              const std::string& begun) -> Attempt {
  http::response_header<> head;
  head.result(connection.Head().result_int());
  CopyEndToEnd(connection.Head(), head);
  const auto until = this->deadline + kStreamGrace;
  try {
    this->exchange.StartBody(head, connection.BodyLength());
    this->exchange.SendBody(begun);
    while (true) {
      const auto left = ToMillis(until - this->state.clock.Now());
      const auto part =
          connection.ReadBody(std::max(left, std::chrono::milliseconds(1)));
      if (part.empty()) break;
      this->exchange.SendBody(part);
    }
    this->exchange.FinishBody();
  } catch (const RequestError& error) {
    Log(events::kAnswerCut, "request=" + std::string(this->RequestId()) +
                                " error=\"" + error.what() + "\"");
    this->exchange.Abort();
  }
  return Attempt::kAnswered;
}

auto ForwardedRequest::MayRetry(Attempt last) -> bool {
  if (this->sends >= kMostSends) return false;
  const bool is_idempotent = this->route->kind != RequestKind::kNonIdempotent;
  if (last == Attempt::kMayHaveRun && !is_idempotent) return false;
  if (last == Attempt::kMayHaveRun &&
      static_cast<int>(this->tried.size()) >= this->route->max_attempts) {
    return false;
  }
  if (this->Left() <= kLeastAttempt) return false;
  // An attempt that got no connection has drawn on nobody.
  if (this->sends == 0) return this->tried.size() < kMostSends;
  return this->state.BudgetOf(this->service).TryRetry();
}

auto ForwardedRequest::AwaitOwner(const BackendTarget& last) -> bool {
  const auto key = this->Key();
  if (!this->is_keyed || !key) return true;
  this->state.owners.AskForRead();
  const auto now = this->state.clock.Now();
  // A new owner may be known here before its grant has reached it.
  const bool is_first =
      std::count(this->tried.begin(), this->tried.end(), last.entry.id) == 1;
  const bool may_ask_again = is_first && !last.load.IsEjected(now);
  const auto patience = std::min(may_ask_again ? kGrantWait : kLongestOwnerWait,
                                 this->Left() / 3);
  while (this->state.clock.Now() < now + patience && !this->is_client_gone) {
    const auto* owner = this->state.owners.Find(this->service, *key);
    if (owner != nullptr && owner->id != last.entry.id) return true;
    SleepFor(kOwnerPoll);
  }
  return may_ask_again;
}

auto ForwardedRequest::Left() const -> std::chrono::milliseconds {
  const auto left = ToMillis(this->deadline - this->state.clock.Now());
  return std::max(left, std::chrono::milliseconds(1));
}

auto ForwardedRequest::Key() const -> std::optional<int> {
  const auto text = View(this->exchange.Request()[this->state.headers.key]);
  const auto number = ParseNumber(text);
  if (!number || *number < 0 || *number >= kKeyCount) return std::nullopt;
  return static_cast<int>(*number);
}

auto ForwardedRequest::RequestId() const -> std::string_view {
  return View(this->exchange.Request()[this->state.headers.request_id]);
}

auto ForwardedRequest::Refuse(std::string_view reason,
                              std::chrono::milliseconds retry_after) -> void {
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
  Log(events::kRefused, "request=" + std::string(this->RequestId()) +
                            " service=" + this->service.Value() +
                            " reason=" + std::string(reason));
  this->Answer(std::move(response));
}

auto ForwardedRequest::Fail(http::status status, std::string_view reason)
    -> void {
  HttpResponse response{status, 11};
  SetVerdict(response,
             this->may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun);
  response.body() = std::string(reason) + "\n";
  Log(events::kFailed,
      "request=" + std::string(this->RequestId()) +
          " status=" + std::to_string(static_cast<unsigned>(status)) +
          " reason=" + std::string(reason));
  this->Answer(std::move(response));
}

}  // namespace currantbeam
