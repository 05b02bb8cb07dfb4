#include "router/server_attempt.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

/// Answers up to this size are read whole before the caller gets them, so
/// that one that breaks off can be asked for again.
constexpr std::size_t kBufferedBody = 48 * 1024;
constexpr auto kConnectTimeout = std::chrono::milliseconds(400);
/// A full server resets connections at once; a later reset is a failure.
constexpr auto kQuickReset = std::chrono::milliseconds(30);
/// A stream that goes on past the deadline is given this much more.
constexpr auto kStreamGrace = std::chrono::milliseconds(250);

constexpr auto kMisdirected =
    static_cast<unsigned>(http::status::misdirected_request);

}  // namespace

auto ServerAttempt::Run() -> AttemptEnd {
  this->sent_at = this->request.state.clock.Now();
  this->target.load.OnSent();
  auto connection = this->Connect();
  if (connection == nullptr) return AttemptEnd::kNotRun;
  if (this->request.is_client_gone) {
    this->target.load.OnAbandoned();
    return AttemptEnd::kClientGone;
  }
  this->request.current = connection.get();
  this->was_sent = true;
  try {
    const auto end = this->Exchange(*connection);
    this->request.current = nullptr;
    const auto& entry = this->target.entry;
    ConnectionPool::Current().Release(entry.address, entry.port,
                                      std::move(connection));
    return end;
  } catch (const RequestError& error) {
    this->request.current = nullptr;
    return this->NoteFailure(error);
  } catch (...) {
    this->request.current = nullptr;
    throw;
  }
}

auto ServerAttempt::Connect() -> std::unique_ptr<HttpConnection> {
  const auto& entry = this->target.entry;
  try {
    return ConnectionPool::Current().Acquire(
        entry.address, entry.port,
        std::min(kConnectTimeout, this->request.Left()));
  } catch (const RequestError& error) {
    this->target.load.OnFailure(this->request.state.clock.Now());
    Log(events::kAttemptFailed, {{"request", this->request.RequestId()},
                                 {"server", entry.id.Value()},
                                 {"may_have_run", false},
                                 {"error", error.what()}});
    return nullptr;
  }
}

auto ServerAttempt::NoteFailure(const RequestError& error) -> AttemptEnd {
  auto& load = this->target.load;
  if (this->request.is_client_gone) {
    load.OnAbandoned();
    return AttemptEnd::kClientGone;
  }
  const auto now = this->request.state.clock.Now();
  const auto took = now - this->sent_at;
  if (took < kQuickReset) {
    load.OnRefused(now);
  } else {
    load.OnFailure(now);
  }
  Log(events::kAttemptFailed, {{"request", this->request.RequestId()},
                               {"server", this->target.entry.id.Value()},
                               {"may_have_run", true},
                               {"took_us", took.count()},
                               {"error", error.what()}});
  return AttemptEnd::kMayHaveRun;
}

auto ServerAttempt::BuildRequest() const -> HttpRequest {
  const auto& request = this->request.exchange.Request();
  const auto& headers = this->request.state.headers;
  HttpRequest built{request.method(), request.target(), 11};
  if (request.method() == http::verb::unknown) {
    built.method_string(request.method_string());
  }
  CopyEndToEnd(request, built);
  built.set(headers.deadline_ms, std::to_string(this->request.Left().count()));
  built.set(headers.server_id, this->target.entry.id.Value());
  built.body() = request.body();
  built.prepare_payload();
  return built;
}

auto ServerAttempt::Exchange(HttpConnection& connection) -> AttemptEnd {
  connection.Send(this->BuildRequest(), this->request.Left());
  this->ReadOwnAnswer(connection);
  const auto status = static_cast<unsigned>(connection.Head().result_int());
  const bool is_not_run =
      !connection.Field(this->request.state.headers.not_run).empty();
  if (status == kMisdirected || is_not_run) {
    while (!connection.ReadBody(this->request.Left()).empty()) {
    }
    return this->NoteRefusal(connection, status);
  }
  if (!this->IsUsable(connection)) {
    throw RequestError(Verdict::kMayHaveRun, "answer without its marks");
  }
  return this->Deliver(connection);
}

auto ServerAttempt::NoteRefusal(HttpConnection& connection, unsigned status)
    -> AttemptEnd {
  const auto now = this->request.state.clock.Now();
  const auto answering =
      connection.Field(this->request.state.headers.answering_id);
  const bool is_other =
      !answering.empty() && answering != this->target.entry.id.Value();
  if (is_other) {
    this->target.load.OnReplaced(now);
    return this->request.is_keyed ? AttemptEnd::kWrongOwner
                                  : AttemptEnd::kNotRun;
  }
  this->target.load.OnRefused(now);
  return status == kMisdirected ? AttemptEnd::kWrongOwner : AttemptEnd::kNotRun;
}

auto ServerAttempt::ReadOwnAnswer(HttpConnection& connection) -> void {
  const bool is_head =
      this->request.exchange.Request().method() == http::verb::head;
  while (true) {
    connection.ReadHead(is_head, this->request.Left());
    const auto id = connection.Field(this->request.state.headers.request_id);
    if (id.empty() || id == this->request.RequestId()) return;
    // An answer to an earlier request; the one to this may follow it.
    while (!connection.ReadBody(this->request.Left()).empty()) {
    }
  }
}

auto ServerAttempt::IsUsable(HttpConnection& connection) const -> bool {
  const auto status = connection.Head().result_int();
  if (status < 200 || status >= 300) return true;
  const auto& headers = this->request.state.headers;
  const bool is_sealed = !connection.Field(headers.seal).empty();
  const bool is_own =
      connection.Field(headers.request_id) == this->request.RequestId();
  const bool is_plain = connection.Field("Content-Encoding").empty();
  return is_sealed && is_own && is_plain;
}

auto ServerAttempt::NoteAnswer(unsigned status) -> void {
  this->status = status;
  const auto now = this->request.state.clock.Now();
  if (status >= 500) {
    this->target.load.OnFailure(now);
    return;
  }
  const auto latency = now - this->sent_at;
  this->target.load.OnAnswer(now, latency, this->request.route->latency_target);
  this->target.returns.OnAnswer();
  if (!this->request.is_keyed) return;
  this->request.state.loads.OnAnswer(this->request.service,
                                     this->target.entry.id, latency);
}

auto ServerAttempt::Deliver(HttpConnection& connection) -> AttemptEnd {
  std::string body;
  const auto length = connection.BodyLength();
  const bool is_large = length && *length > kBufferedBody;
  bool is_whole = false;
  while (!is_large && body.size() <= kBufferedBody) {
    const auto part = connection.ReadBody(this->request.Left());
    is_whole = part.empty();
    if (is_whole) break;
    body.append(part);
  }
  this->NoteAnswer(static_cast<unsigned>(connection.Head().result_int()));
  if (!is_whole) {
    this->Stream(connection, body);
    return AttemptEnd::kAnswered;
  }
  HttpResponse response;
  response.result(this->status);
  CopyEndToEnd(connection.Head(), response);
  response.body() = std::move(body);
  this->request.Answer(std::move(response));
  return AttemptEnd::kAnswered;
}

auto ServerAttempt::Stream(HttpConnection& connection, const std::string& begun)
    -> void {
  auto& exchange = this->request.exchange;
  http::response_header<> head;
  head.result(connection.Head().result_int());
  CopyEndToEnd(connection.Head(), head);
  const auto until = this->request.deadline + kStreamGrace;
  try {
    exchange.StartBody(head, connection.BodyLength());
    exchange.SendBody(begun);
    while (true) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          until - this->request.state.clock.Now());
      const auto part =
          connection.ReadBody(std::max(left, std::chrono::milliseconds(1)));
      if (part.empty()) break;
      exchange.SendBody(part);
    }
    exchange.FinishBody();
  } catch (const RequestError& error) {
    Log(events::kAnswerCut, {{"request", this->request.RequestId()},
                             {"server", this->target.entry.id.Value()},
                             {"error", error.what()}});
    exchange.Abort();
  }
}

}  // namespace currantbeam
