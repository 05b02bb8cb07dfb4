#include "gateway/forwarding.h"

#include <charconv>

#include "gateway/response_relay.h"

namespace currantbeam {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
constexpr const char* kService = "currantbeam-hop-service";
constexpr const char* kClass = "currantbeam-hop-class";
constexpr const char* kNeighbour = "currantbeam-hop-neighbour";
constexpr const char* kHash = "currantbeam-hop-hash";
constexpr const char* kDeadline = "currantbeam-hop-deadline-us";
constexpr const char* kIdempotency = "currantbeam-hop-idempotency";

auto Required(const HttpRequest& request, const char* name) -> std::string {
  const auto found = request.find(name);
  if (found == request.end()) {
    throw InputError("forwarded request lacks header " + std::string(name));
  }
  return std::string(found->value());
}

auto Number(const HttpRequest& request, const char* name) -> std::uint64_t {
  const auto text = Required(request, name);
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    throw InputError("header " + std::string(name) + ": '" + text +
                     "' is not a number");
  }
  return value;
}

/// @return true if the server's driver was replaced because it was lost.
auto IsGatewayLost(const GatewayState& state, const ServerId& server,
                   const HostId& gateway) -> bool {
  const auto view = state.CurrentView();
  const auto* target = view.routes ? view.routes->FindTarget(server) : nullptr;
  return target != nullptr && target->lost_gateway == gateway &&
         target->gateway != gateway;
}

auto MakeForwarded(const RequestJob& job, TimePoint now) -> HttpRequest {
  HttpRequest forwarded = *job.request;
  forwarded.version(11);
  forwarded.keep_alive(true);
  forwarded.set(kService, job.service.Value());
  forwarded.set(kClass, job.work.name.Value());
  forwarded.set(kNeighbour, job.neighbour.Value());
  forwarded.set(kHash, std::to_string(job.hash));
  forwarded.set(kDeadline, std::to_string((job.deadline - now).count()));
  if (!job.idempotency_key.empty()) {
    forwarded.set(kIdempotency, job.idempotency_key);
  }
  forwarded.prepare_payload();
  return forwarded;
}

}  // namespace

auto ForwardToGateway(const RequestJob& job, const RouteTarget& target,
                      HttpExchange& exchange, GatewayState& state) -> bool {
  const auto& clock = state.GetClock();
  const auto hop = target.hop;
  auto& pool = ConnectionPool::Current();
  const auto now = clock.Now();
  const auto left = TimeLeft(job.deadline, now);
  std::unique_ptr<HttpConnection> connection;
  try {
    connection =
        pool.Acquire(hop.address, hop.port, std::min(kConnectTimeout, left));
  } catch (const RequestError& error) {
    throw RerouteError(error.what());
  }
  // The driving gateway keeps the deadline; the margin lets it say so.
  constexpr auto kMargin = std::chrono::milliseconds(100);
  auto watch = std::make_unique<CancelOnPeerLoss>(
      *connection,
      [&state, server = target.server.id, gateway = target.gateway] {
        return IsGatewayLost(state, server, gateway);
      });
  const auto head =
      connection->Exchange(MakeForwarded(job, now), left + kMargin);
  if (head.find(answer_headers::kReroute) != head.end()) {
    const std::string why(head[answer_headers::kReroute]);
    while (!connection->ReadBody(left).empty()) {
    }
    watch.reset();
    pool.Release(hop.address, hop.port, std::move(connection));
    throw RerouteError(why);
  }
  const auto verdict =
      ExecutionStatusFromString(std::string(head[kExecutionStatusHeader]));
  if (head.result() == http::status::bad_gateway &&
      verdict == ExecutionStatus::kMayHaveRun) {
    throw RequestError(verdict, "the driver lost the server's answer");
  }
  AnswerRelay relay(exchange);
  relay.Run(*connection, head);
  watch.reset();
  pool.Release(hop.address, hop.port, std::move(connection));
  return verdict == ExecutionStatus::kRan;
}

auto ReadForwarded(const HttpRequest& request,
                   const Configuration& configuration, TimePoint now)
    -> RequestJob {
  RequestJob job;
  job.request = &request;
  job.service = ServiceName(Required(request, kService));
  const ClassName work(Required(request, kClass));
  job.neighbour = NeighbourName(Required(request, kNeighbour));
  job.hash = Number(request, kHash);
  job.arrived = now;
  job.deadline =
      now + Duration(static_cast<std::int64_t>(Number(request, kDeadline)));
  const auto key = request.find(kIdempotency);
  if (key != request.end()) job.idempotency_key = std::string(key->value());
  const auto* known = configuration.FindClass(work);
  if (known == nullptr) {
    throw RerouteError("class '" + work.Value() + "' is not known here");
  }
  job.work = *known;
  return job;
}

}  // namespace currantbeam
