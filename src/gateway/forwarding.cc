#include "gateway/forwarding.h"

#include <charconv>

#include "gateway/response_relay.h"

namespace currantbeam {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
constexpr std::uint64_t kMaxDiscardedBytes = 64 * 1024;
constexpr const char* kServiceHeader = "currantbeam-hop-service";
constexpr const char* kClassHeader = "currantbeam-hop-class";
constexpr const char* kNeighbourHeader = "currantbeam-hop-neighbour";
constexpr const char* kHashHeader = "currantbeam-hop-hash";
constexpr const char* kDeadlineHeader = "currantbeam-hop-deadline-us";
constexpr const char* kIdempotencyHeader = "currantbeam-hop-idempotency";

auto RequiredHeader(const HttpRequest& request, const char* name)
    -> std::string {
  const auto found = request.find(name);
  if (found == request.end()) {
    throw InputError("forwarded request lacks header " + std::string(name));
  }
  return std::string(found->value());
}

auto NumericHeader(const HttpRequest& request, const char* name)
    -> std::uint64_t {
  const auto text = RequiredHeader(request, name);
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    throw InputError("header " + std::string(name) + ": '" + text +
                     "' is not a number");
  }
  return value;
}

/// @return true if another gateway now drives the server because the given one
/// was lost.
auto IsGatewayLost(const GatewayState& state, const ServerId& server,
                   const HostId& gateway) -> bool {
  const auto view = state.CurrentView();
  const auto* target = view.routes ? view.routes->FindTarget(server) : nullptr;
  return target != nullptr && target->lost_gateway == gateway &&
         target->gateway != gateway;
}

/// Reads the rest of a response, so that its connection can be used again.
auto DiscardBody(HttpConnection& connection, const Clock& clock,
                 TimePoint deadline) -> void {
  connection.LimitBody(kMaxDiscardedBytes);
  while (!connection.ReadBody(TimeLeft(deadline, clock.Now())).empty()) {
  }
}

/// @return the value of Retry-After; zero if it is absent or not a number of
///   seconds.
auto RetryAfterOf(const http::response_header<>& head) -> Duration {
  const auto text = head[http::field::retry_after];
  int seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

auto MakeForwardedRequest(const RequestJob& job, Duration time_left)
    -> HttpRequest {
  HttpRequest forwarded = *job.request;
  forwarded.version(11);
  forwarded.keep_alive(true);
  forwarded.set(kServiceHeader, job.service.Value());
  forwarded.set(kClassHeader, job.request_class.name.Value());
  forwarded.set(kNeighbourHeader, job.neighbour.Value());
  forwarded.set(kHashHeader, std::to_string(job.hash));
  forwarded.set(kDeadlineHeader, std::to_string(time_left.count()));
  if (!job.idempotency_key.empty()) {
    forwarded.set(kIdempotencyHeader, job.idempotency_key);
  }
  forwarded.prepare_payload();
  return forwarded;
}

}  // namespace

auto ForwardToGateway(const RequestJob& job, const RouteTarget& target,
                      HttpExchange& exchange, GatewayState& state) -> bool {
  const auto& clock = state.GetClock();
  const auto endpoint = target.hop;
  auto& pool = ConnectionPool::Current();
  const auto server_deadline = state.ServerDeadline(job.deadline);
  const auto time_left = TimeLeft(server_deadline, clock.Now());
  std::unique_ptr<HttpConnection> connection;
  try {
    connection = pool.Acquire(endpoint.address, endpoint.port,
                              std::min(kConnectTimeout, time_left));
  } catch (const RequestError& error) {
    throw RerouteError(error.what());
  }
  // The driving gateway enforces the deadline; the margin leaves it time to
  // report that the deadline has passed.
  constexpr auto kDeadlineMargin = std::chrono::milliseconds(100);
  auto watch = std::make_unique<CancelOnPeerLoss>(
      *connection,
      [&state, &exchange, server = target.server.id, gateway = target.gateway] {
        if (IsGatewayLost(state, server, gateway)) return true;
        return state.MustRespond() && !exchange.HasStarted();
      });
  const auto head = connection->Exchange(MakeForwardedRequest(job, time_left),
                                         time_left + kDeadlineMargin);
  if (head.find(response_headers::kReroute) != head.end()) {
    const std::string reason(head[response_headers::kReroute]);
    DiscardBody(*connection, clock, server_deadline);
    watch.reset();
    pool.Release(endpoint.address, endpoint.port, std::move(connection));
    throw RerouteError(reason);
  }
  const auto verdict = VerdictFromString(std::string(head[kVerdictHeader]));
  if (head.result() == http::status::service_unavailable &&
      verdict == Verdict::kNotRun) {
    // Not relayed, as an earlier attempt may have run.
    DiscardBody(*connection, clock, server_deadline);
    watch.reset();
    pool.Release(endpoint.address, endpoint.port, std::move(connection));
    throw OverloadError("refused by the driving gateway", RetryAfterOf(head));
  }
  if (head.result() == http::status::bad_gateway &&
      verdict == Verdict::kMayHaveRun) {
    throw RequestError(verdict, "the driver lost the server's answer");
  }
  ResponseRelay relay(exchange, clock, job.deadline);
  relay.Run(*connection, head);
  watch.reset();
  pool.Release(endpoint.address, endpoint.port, std::move(connection));
  return verdict == Verdict::kRan;
}

auto ParseForwardedRequest(const HttpRequest& request,
                           const Configuration& configuration, TimePoint now)
    -> RequestJob {
  RequestJob job;
  job.request = &request;
  job.service = ServiceName(RequiredHeader(request, kServiceHeader));
  const ClassName class_name(RequiredHeader(request, kClassHeader));
  job.neighbour = NeighbourName(RequiredHeader(request, kNeighbourHeader));
  job.hash = NumericHeader(request, kHashHeader);
  job.arrived = now;
  job.deadline = now + Duration(static_cast<std::int64_t>(
                           NumericHeader(request, kDeadlineHeader)));
  const auto key = request.find(kIdempotencyHeader);
  if (key != request.end()) job.idempotency_key = std::string(key->value());
  const auto* found_class = configuration.FindClass(class_name);
  if (found_class == nullptr) {
    throw RerouteError("class '" + class_name.Value() + "' is not known here");
  }
  job.request_class = *found_class;
  return job;
}

}  // namespace currantbeam
