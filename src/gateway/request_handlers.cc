#include "gateway/request_handlers.h"

#include <sstream>

#include "core/events.h"
#include "gateway/forwarding.h"
#include "gateway/response_relay.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr auto kInitialBackoff = std::chrono::microseconds(500);
constexpr auto kMaxBackoff = std::chrono::microseconds(8000);
constexpr int kMaxRetries = 3;

}  // namespace

/// The state of routing one client request: the current route and the number
/// of attempts so far.
struct ClientRequestHandler::RoutingState {
  SlotIndex slot = 0;
  Epoch epoch = 0;
  ServerId server;
  HostId gateway;
  bool is_hot = false;
  int reroutes = 0;
  int retries = 0;
  std::chrono::microseconds backoff = kInitialBackoff;
  std::string last_error = "no server owns the key";
};

auto ClientRequestHandler::OnBadInput(const std::string& message) -> void {
  Log(events::kBadRequest, {{"from", "caller"}, {"error", message}});
}

auto ClientRequestHandler::MakeJob(const HttpRequest& request)
    -> std::optional<RequestJob> {
  const auto view = this->state.CurrentView();
  if (!this->state.MayServe() || !view.configuration) return std::nullopt;
  const auto classified = Classify(request, *view.configuration);
  RequestJob job;
  job.request = &request;
  job.service = classified.service->name;
  job.request_class = *classified.request_class;
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

auto ClientRequestHandler::Handle(HttpExchange& exchange) -> void {
  try {
    auto job = this->MakeJob(exchange.Request());
    if (!job.has_value()) {
      Log(events::kRefused, {{"why", "not-serving"}});
      SendErrorResponse(exchange, http::status::service_unavailable,
                        Verdict::kNotRun, "this host is not serving",
                        std::chrono::seconds(1));
      return;
    }
    this->RouteRequest(*job, exchange);
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    SendErrorResponse(exchange, http::status::bad_request, Verdict::kNotRun,
                      error.what());
  }
}

auto ClientRequestHandler::TryRoute(RequestJob& job, HttpExchange& exchange,
                                    RoutingState& routing) -> bool {
  const auto view = this->state.CurrentView();
  const auto* service = view.routes ? view.routes->Find(job.service) : nullptr;
  if (service == nullptr) return false;
  const auto route = service->Find(job.hash);
  routing.slot = route.slot;
  routing.epoch = route.epoch;
  routing.is_hot = route.hot;
  if (route.target == nullptr || route.moving) return false;
  routing.server = route.target->server.id;
  routing.gateway = route.target->gateway;
  if (route.target->gateway.IsEmpty()) return false;
  if (route.target->gateway == this->state.Settings().host) {
    this->dispatcher.Run(job, exchange);
    this->RecordOutcome(job, routing, "answered", "");
    return true;
  }
  const bool ran = ForwardToGateway(job, *route.target, exchange, this->state);
  this->RecordOutcome(job, routing, ran ? "answered" : "refused",
                      "reported by the driving gateway");
  return true;
}

auto ClientRequestHandler::IsRetryable(const RequestJob& job,
                                       const RequestError& error) -> bool {
  return error.GetVerdict() == Verdict::kMayHaveRun &&
         job.request_class.idempotent;
}

auto ClientRequestHandler::HasTimeToRetry(const RequestJob& job,
                                          const RoutingState& routing) const
    -> bool {
  return this->state.GetClock().Now() + routing.backoff <
         this->state.ServerDeadline(job.deadline);
}

auto ClientRequestHandler::SendRefusal(const RequestJob& job,
                                       const RoutingState& routing,
                                       HttpExchange& exchange,
                                       const std::string& reason,
                                       Duration retry_after) -> void {
  const bool may_have_run = routing.retries != 0;
  if (may_have_run) {
    this->RecordOutcome(job, routing, "failed", reason);
    SendErrorResponse(exchange, http::status::gateway_timeout,
                      Verdict::kMayHaveRun, reason);
    return;
  }
  this->RecordOutcome(job, routing, "refused", reason);
  SendErrorResponse(exchange, http::status::service_unavailable,
                    Verdict::kNotRun, reason, retry_after);
}

auto ClientRequestHandler::RouteRequest(RequestJob& job, HttpExchange& exchange)
    -> void {
  RoutingState routing;
  while (true) {
    try {
      if (this->TryRoute(job, exchange, routing)) return;
    } catch (const RerouteError& error) {
      routing.last_error = error.what();
    } catch (const OverloadError& error) {
      this->SendRefusal(job, routing, exchange, error.what(),
                        error.RetryAfter());
      return;
    } catch (const RequestError& error) {
      if (exchange.HasStarted()) {
        this->RecordOutcome(job, routing, "cut", error.what());
        exchange.Abort();
        return;
      }
      const bool will_retry =
          this->IsRetryable(job, error) && routing.retries < kMaxRetries &&
          this->HasTimeToRetry(job, routing) && this->dispatcher.TryRetry();
      if (!will_retry) {
        this->RecordOutcome(job, routing, "failed", error.what());
        SendErrorResponse(exchange, http::status::bad_gateway,
                          error.GetVerdict(), error.what());
        return;
      }
      ++routing.retries;
      Log(events::kRetried, {{"class", job.request_class.name.Value()},
                             {"key", job.key},
                             {"reason", error.what()}});
      this->state.GetMetrics().CountRetry();
      routing.last_error = error.what();
    }
    ++routing.reroutes;
    if (!this->HasTimeToRetry(job, routing)) {
      this->SendRefusal(job, routing, exchange, routing.last_error,
                        std::chrono::seconds(1));
      return;
    }
    SleepFor(routing.backoff);
    routing.backoff = std::min(routing.backoff * 2, kMaxBackoff);
  }
}

auto ClientRequestHandler::RecordOutcome(const RequestJob& job,
                                         const RoutingState& routing,
                                         const std::string& result,
                                         const std::string& reason) -> void {
  const auto total = this->state.GetClock().Now() - job.arrived;
  this->state.GetMetrics().Record(
      {job.request_class.name, result, job.queue_time, total});
  const auto& event = result == "answered"  ? events::kRouted
                      : result == "refused" ? events::kRefused
                      : result == "cut"     ? events::kAnswerCut
                                            : events::kFailed;
  if (!IsLogged(event)) return;
  const auto slot = job.service.Value() + "/" + std::to_string(routing.slot);
  std::vector<LogField> fields = {
      {"class", job.request_class.name.Value()},
      {"neighbour", job.neighbour.Value()},
      {"key", job.key},
      {"slot", slot},
      {"epoch", routing.epoch},
      {"server", routing.server.Value()},
      {"driver", routing.gateway.Value()},
      {"why", routing.is_hot ? "hot-key-slot" : "slot-owner"},
      {"reroutes", routing.reroutes},
      {"took_us", total.count()}};
  if (!reason.empty()) fields.emplace_back("reason", reason);
  Log(event, fields);
}

auto ForwardedRequestHandler::OnBadInput(const std::string& message) -> void {
  Log(events::kBadRequest, {{"from", "gateway"}, {"error", message}});
}

auto ForwardedRequestHandler::Handle(HttpExchange& exchange) -> void {
  try {
    const auto view = this->state.CurrentView();
    if (!view.configuration) throw RerouteError("no configuration yet");
    auto job = ParseForwardedRequest(exchange.Request(), *view.configuration,
                                     this->state.GetClock().Now());
    this->dispatcher.Run(job, exchange);
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    SendErrorResponse(exchange, http::status::bad_request, Verdict::kNotRun,
                      error.what());
  } catch (const RerouteError& error) {
    HttpResponse response{http::status::misdirected_request, 11};
    SetVerdict(response, Verdict::kNotRun);
    response.set(response_headers::kReroute, error.what());
    exchange.Send(std::move(response));
  } catch (const OverloadError& error) {
    SendErrorResponse(exchange, http::status::service_unavailable,
                      Verdict::kNotRun, error.what(), error.RetryAfter());
  } catch (const RequestError& error) {
    if (exchange.HasStarted()) {
      exchange.Abort();
      return;
    }
    SendErrorResponse(exchange, http::status::bad_gateway, error.GetVerdict(),
                      error.what());
  }
}

auto StatusHandler::OnBadInput(const std::string& message) -> void {
  Log(events::kBadRequest, {{"from", "status"}, {"error", message}});
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
