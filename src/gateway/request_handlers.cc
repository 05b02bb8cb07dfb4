#include "gateway/request_handlers.h"

#include <sstream>

#include "core/events.h"
#include "gateway/forwarding.h"
#include "gateway/response_relay.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr auto kFirstPause = std::chrono::microseconds(500);
constexpr auto kLongestPause = std::chrono::microseconds(8000);
constexpr int kMaxRepeats = 3;

}  // namespace

/// How far the routing of one request has come.
struct CallerHandler::Attempt {
  SlotIndex slot = 0;
  Epoch epoch = 0;
  ServerId server;
  HostId gateway;
  bool hot = false;
  int reroutes = 0;
  int repeats = 0;
  std::chrono::microseconds pause = kFirstPause;
  std::string last_problem = "no server owns the key";
};

auto CallerHandler::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"from", "caller"}, {"error", what}});
}

auto CallerHandler::MakeJob(const HttpRequest& request)
    -> std::optional<RequestJob> {
  const auto view = this->state.CurrentView();
  if (!this->state.MayServe() || !view.configuration) return std::nullopt;
  const auto classified = Classify(request, *view.configuration);
  RequestJob job;
  job.request = &request;
  job.service = classified.service->name;
  job.work = *classified.request_class;
  job.neighbour = classified.neighbour;
  job.key = classified.key;
  job.hash = classified.hash;
  if (!classified.idempotency_key.empty()) {
    job.idempotency_key = job.service.Value() + "/" + job.neighbour.Value() +
                          "/" + classified.idempotency_key;
  }
  job.arrived = this->state.GetClock().Now();
  job.deadline = job.arrived + classified.deadline;
  return job;
}

auto CallerHandler::Handle(HttpExchange& exchange) -> void {
  try {
    auto job = this->MakeJob(exchange.Request());
    if (!job.has_value()) {
      Log(events::kRefused, {{"why", "not-serving"}});
      SendFailure(exchange, http::status::service_unavailable,
                  ExecutionStatus::kNotRun, "this host is not serving",
                  std::chrono::seconds(1));
      return;
    }
    this->Route(*job, exchange);
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    SendFailure(exchange, http::status::bad_request, ExecutionStatus::kNotRun,
                error.what());
  }
}

auto CallerHandler::TryOnce(RequestJob& job, HttpExchange& exchange,
                            Attempt& attempt) -> bool {
  const auto view = this->state.CurrentView();
  const auto* service = view.routes ? view.routes->Find(job.service) : nullptr;
  if (service == nullptr) return false;
  const auto route = service->Find(job.hash);
  attempt.slot = route.slot;
  attempt.epoch = route.epoch;
  attempt.hot = route.hot;
  if (route.target == nullptr || route.moving) return false;
  attempt.server = route.target->server.id;
  attempt.gateway = route.target->gateway;
  if (route.target->gateway.IsEmpty()) return false;
  if (route.target->gateway == this->state.Settings().host) {
    this->driver.Run(job, exchange);
    this->Finish(job, attempt, "answered", "");
    return true;
  }
  const bool ran = ForwardToGateway(job, *route.target, exchange, this->state);
  this->Finish(job, attempt, ran ? "answered" : "refused", "by driver");
  return true;
}

auto CallerHandler::MayRepeat(const RequestJob& job, const RequestError& error)
    -> bool {
  return error.GetExecutionStatus() == ExecutionStatus::kMayHaveRun &&
         job.work.idempotent;
}

auto CallerHandler::Route(RequestJob& job, HttpExchange& exchange) -> void {
  const auto& clock = this->state.GetClock();
  Attempt attempt;
  while (true) {
    try {
      if (this->TryOnce(job, exchange, attempt)) return;
    } catch (const RerouteError& error) {
      attempt.last_problem = error.what();
    } catch (const OverloadError& error) {
      this->Finish(job, attempt, "refused", error.what());
      SendFailure(exchange, http::status::service_unavailable,
                  ExecutionStatus::kNotRun, error.what(), error.RetryAfter());
      return;
    } catch (const RequestError& error) {
      if (exchange.HasStarted()) {
        this->Finish(job, attempt, "cut", error.what());
        exchange.Abort();
        return;
      }
      const bool repeats = this->MayRepeat(job, error) &&
                           attempt.repeats < kMaxRepeats &&
                           this->driver.TryRetry();
      if (!repeats) {
        this->Finish(job, attempt, "failed", error.what());
        SendFailure(exchange, http::status::bad_gateway,
                    error.GetExecutionStatus(), error.what());
        return;
      }
      ++attempt.repeats;
      Log(events::kRetried, {{"class", job.work.name.Value()},
                             {"key", job.key},
                             {"reason", error.what()}});
      this->state.GetMetrics().CountRetry();
      attempt.last_problem = error.what();
    }
    ++attempt.reroutes;
    if (clock.Now() + attempt.pause >= job.deadline) {
      this->Finish(job, attempt, "refused", attempt.last_problem);
      const bool may_have_run = attempt.repeats != 0;
      SendFailure(exchange, http::status::service_unavailable,
                  may_have_run ? ExecutionStatus::kMayHaveRun
                               : ExecutionStatus::kNotRun,
                  attempt.last_problem, std::chrono::seconds(1));
      return;
    }
    SleepFor(attempt.pause);
    attempt.pause = std::min(attempt.pause * 2, kLongestPause);
  }
}

auto CallerHandler::Finish(const RequestJob& job, const Attempt& attempt,
                           const std::string& result, const std::string& why)
    -> void {
  const auto total = this->state.GetClock().Now() - job.arrived;
  this->state.GetMetrics().Record({job.work.name, result, job.waited, total});
  const auto& event = result == "answered"  ? events::kRouted
                      : result == "refused" ? events::kRefused
                      : result == "cut"     ? events::kAnswerCut
                                            : events::kFailed;
  if (!IsLogged(event)) return;
  const auto slot = job.service.Value() + "/" + std::to_string(attempt.slot);
  std::vector<LogField> fields = {
      {"class", job.work.name.Value()},
      {"neighbour", job.neighbour.Value()},
      {"key", job.key},
      {"slot", slot},
      {"epoch", attempt.epoch},
      {"server", attempt.server.Value()},
      {"driver", attempt.gateway.Value()},
      {"why", attempt.hot ? "hot-key-slot" : "slot-owner"},
      {"reroutes", attempt.reroutes},
      {"took_us", total.count()}};
  if (!why.empty()) fields.emplace_back("reason", why);
  Log(event, fields);
}

auto HopHandler::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"from", "gateway"}, {"error", what}});
}

auto HopHandler::Handle(HttpExchange& exchange) -> void {
  try {
    const auto view = this->state.CurrentView();
    if (!view.configuration) throw RerouteError("no configuration yet");
    auto job = ReadForwarded(exchange.Request(), *view.configuration,
                             this->state.GetClock().Now());
    this->driver.Run(job, exchange);
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    SendFailure(exchange, http::status::bad_request, ExecutionStatus::kNotRun,
                error.what());
  } catch (const RerouteError& error) {
    HttpResponse response{http::status::misdirected_request, 11};
    SetExecutionStatus(response, ExecutionStatus::kNotRun);
    response.set(answer_headers::kReroute, error.what());
    exchange.Send(std::move(response));
  } catch (const OverloadError& error) {
    SendFailure(exchange, http::status::service_unavailable,
                ExecutionStatus::kNotRun, error.what(), error.RetryAfter());
  } catch (const RequestError& error) {
    if (exchange.HasStarted()) {
      exchange.Abort();
      return;
    }
    SendFailure(exchange, http::status::bad_gateway, error.GetExecutionStatus(),
                error.what());
  }
}

auto StatusHandler::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"from", "status"}, {"error", what}});
}

auto StatusHandler::Handle(HttpExchange& exchange) -> void {
  const auto target = exchange.Request().target();
  HttpResponse response{http::status::ok, 11};
  response.set(http::field::content_type, "text/plain");
  if (target == "/livez") {
    response.body() = "alive\n";
  } else if (target == "/readyz") {
    const bool ready = this->state.MayServe();
    if (!ready) response.result(http::status::service_unavailable);
    response.body() = ready ? "ready\n" : "not ready\n";
  } else if (target == "/metrics") {
    response.body() = this->state.GetMetrics().Render();
  } else {
    response.result(http::status::not_found);
    response.body() = "there are /livez, /readyz and /metrics\n";
  }
  exchange.Send(std::move(response));
}

}  // namespace currantbeam
