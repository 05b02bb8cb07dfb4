#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>

#include "fiber_test.h"
#include "gateway/gateway_state.h"
#include "gateway/request_handlers.h"
#include "port_block.h"
#include "servers/servers.h"
#include "standins/server/server_handler.h"

namespace currantbeam {

inline const std::uint16_t kServerPort = TestPort(0);
inline const std::uint16_t kClientPort = TestPort(1);
inline const std::uint16_t kForwardingPort = TestPort(2);
inline const std::uint16_t kOtherGatewayPort = TestPort(3);
constexpr auto kTimeout = std::chrono::milliseconds(5000);

inline const char* const kConfiguration = R"(deployment = "d"
failure_domains = ["x"]
[[service]]
name = "s"
path_prefix = "/s/"
key_from = "path"
slots = 4
[[class]]
name = "read"
service = "s"
method = "GET"
idempotent = true
deadline_ms = 1500
[[class]]
name = "order"
service = "s"
method = "POST"
deadline_ms = 1500
[[class]]
name = "long-read"
service = "s"
method = "DELETE"
idempotent = true
deadline_ms = 60000
[[class]]
name = "long-order"
service = "s"
method = "PUT"
deadline_ms = 60000
)";

/// One gateway and one stand-in server in this process. The test passes
/// heartbeats to the gateway's agent directly, so no placer runs.
class RequestPath : public testing::Test {
 protected:
  RequestPath() {
    // Long leases, so that they don't expire on a busy machine; these tests do
    // not cover expiry.
    this->timing.driver_lease = std::chrono::seconds(60);
    this->timing.grant_duration = std::chrono::seconds(60);
    this->settings.host = HostId("h");
    this->settings.domain = FailureDomain("x");
    this->settings.drain_timeout = std::chrono::seconds(6);
    this->state = std::make_unique<GatewayState>(this->settings, this->timing,
                                                 this->clock);
    this->dispatcher =
        std::make_unique<BackendDispatcher>(*this->state, this->client);
    this->handler =
        std::make_unique<ClientRequestHandler>(*this->state, *this->dispatcher);
    this->behaviour.work = std::chrono::microseconds(500);
  }

  auto Run(const std::function<void()>& body) -> void {
    FiberLoop loop;
    this->server = std::make_unique<ServerHandler>(this->behaviour, 77);
    HttpServer server_port(LocalServerOptions(kServerPort), *this->server);
    auto options = LocalServerOptions(kClientPort);
    options.limits.body_bytes = 1024;
    HttpServer client_port(options, *this->handler);
    server_port.Listen(loop);
    client_port.Listen(loop);
    RunInFiber(loop, [&] {
      this->BecomeDriver();
      body();
      client_port.StopAccepting();
      server_port.StopAccepting();
    });
  }

  auto MakeHeartbeat() -> Heartbeat {
    Heartbeat heartbeat;
    heartbeat.placer = HostId("p");
    heartbeat.session = 1;
    heartbeat.term = {1, 0};
    heartbeat.leading = heartbeat.active = true;
    heartbeat.incarnation = this->incarnation;
    heartbeat.clock = heartbeat.echo = ToMicros(this->clock.Now());
    return heartbeat;
  }

  auto MakeDocuments() -> std::vector<Document> {
    auto configuration = Configuration::FromToml(kConfiguration, "f");
    configuration.version = 1;
    BackendServer backend;
    backend.id = ServerId("b");
    backend.service = ServiceName("s");
    backend.domain = this->settings.domain;
    backend.endpoint = {"127.0.0.1", kServerPort};
    backend.slots = 4;
    nlohmann::json row = backend;
    row["gateway"] = this->driver;
    row["lost_gateway"] = "";
    row["hop"] = Endpoint{"127.0.0.1", kOtherGatewayPort};
    Segment segment{backend.service, backend.domain, {}, {}};
    for (SlotIndex slot = 0; slot < 4; ++slot) {
      segment.slots[slot] = {backend.id, 1, {}, false};
    }
    return {{"config", {{}, 1}, configuration},
            {"drivers/x", {{1, 0}, 1}, nlohmann::json::array({row})},
            {segment.Name(), {{1, 0}, 1}, segment}};
  }

  auto BecomeDriver() -> void {
    SleepFor(this->timing.leader_lease +
             2 * this->timing.clock_drift_allowance);
    this->incarnation = this->state->WithAgent([&](GatewayAgent& agent) {
      return agent.OnHeartbeat(this->MakeHeartbeat()).incarnation;
    });
    auto heartbeat = this->MakeHeartbeat();
    heartbeat.documents = this->MakeDocuments();
    heartbeat.cursor = 3;
    heartbeat.assignments.push_back({ServerId("b"), 1});
    this->state->WithAgent(
        [&](GatewayAgent& agent) { return agent.OnHeartbeat(heartbeat); });
    const auto documents = this->state->WithAgent(
        [](GatewayAgent& agent) { return agent.Documents(); });
    auto configuration = std::make_shared<Configuration>(
        documents.Find("config")->body.get<Configuration>());
    this->dispatcher->SetConfiguration(*configuration);
    this->state->SetView(
        {configuration,
         RoutingTable::Build(documents, {{ServiceName("s"), 4}})});
    this->RenewGrants();
    FiberLoop::Current().Spawn([this, heartbeat]() mutable {
      for (int i = 0; i < 100; ++i) {
        heartbeat.clock = heartbeat.echo = ToMicros(this->clock.Now());
        this->state->WithAgent(
            [&](GatewayAgent& agent) { return agent.OnHeartbeat(heartbeat); });
        this->RenewGrants();
        SleepFor(std::chrono::milliseconds(50));
      }
    });
  }

  auto RenewGrants() -> void {
    for (int i = 0; i < 2; ++i) {
      const auto due_grants = this->state->WithAgent([](GatewayAgent& agent) {
        return agent.DrivenServers().DueGrants();
      });
      for (const auto& attempt : due_grants) {
        BackendServer backend;
        backend.endpoint = {"127.0.0.1", kServerPort};
        const auto response =
            this->client.SendGrant(backend, attempt.grant, kTimeout);
        this->state->WithAgent([&](GatewayAgent& agent) {
          agent.DrivenServers().Confirm(attempt, response);
        });
      }
    }
  }

  static auto SendRequest(http::verb method, const std::string& id,
                          const std::string& idempotency = "",
                          const std::string& target = "/s/k") -> HttpResponse {
    HttpRequest request{method, target, 11};
    request.set("x-request-id", id);
    if (!idempotency.empty()) request.set("idempotency-key", idempotency);
    return Fetch("127.0.0.1", kClientPort, std::move(request), kTimeout);
  }

  static auto RunCountOf(const std::string& id) -> int {
    const auto report =
        Fetch("127.0.0.1", kServerPort,
              HttpRequest{http::verb::get, "/standin/report", 11}, kTimeout);
    const auto run_counts =
        nlohmann::json::parse(report.body()).at("runs_by_id");
    return run_counts.value(id, 0);
  }

  static auto SetBehaviour(const nlohmann::json& change) -> void {
    HttpRequest request{http::verb::post, "/standin/behaviour", 11};
    request.body() = change.dump();
    Fetch("127.0.0.1", kServerPort, std::move(request), kTimeout);
  }

  static auto VerdictOf(const HttpResponse& response) -> std::string {
    return std::string(response[kVerdictHeader]);
  }

  SteadyClock clock;
  LeaseTiming timing;
  GatewaySettings settings;
  HostId driver{"h"};  ///< The gateway that drives the server.
  HttpBackendClient client;
  ServerBehaviour behaviour;
  std::uint64_t incarnation = 0;
  std::unique_ptr<ServerHandler> server;
  std::unique_ptr<GatewayState> state;
  std::unique_ptr<BackendDispatcher> dispatcher;
  std::unique_ptr<ClientRequestHandler> handler;
};

}  // namespace currantbeam
