#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
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
namespace {

const std::uint16_t kServerPort = TestPort(0);
const std::uint16_t kClientPort = TestPort(1);
constexpr auto kTimeout = std::chrono::milliseconds(5000);

const char* const kConfiguration = R"(deployment = "d"
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
    row["gateway"] = this->settings.host;
    row["lost_gateway"] = "";
    row["hop"] = Endpoint{"127.0.0.1", 1};
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
  HttpBackendClient client;
  ServerBehaviour behaviour;
  std::uint64_t incarnation = 0;
  std::unique_ptr<ServerHandler> server;
  std::unique_ptr<GatewayState> state;
  std::unique_ptr<BackendDispatcher> dispatcher;
  std::unique_ptr<ClientRequestHandler> handler;
};

TEST_F(RequestPath, RelaysWholeResponseWithItsVerdict) {
  this->Run([] {
    const auto response = SendRequest(http::verb::get, "1");
    EXPECT_EQ(response.result(), http::status::ok);
    EXPECT_EQ(response.body().size(), 200U);
    EXPECT_EQ(VerdictOf(response), "ran");
    EXPECT_EQ(RunCountOf("1"), 1);
  });
}

TEST_F(RequestPath, DoesNotRetryANonIdempotentRequestAfterALostResponse) {
  this->Run([] {
    SetBehaviour({{"lose_answers", true}});
    const auto response = SendRequest(http::verb::post, "1");
    EXPECT_EQ(response.result(), http::status::bad_gateway);
    EXPECT_EQ(VerdictOf(response), "may-have-run");
    EXPECT_EQ(RunCountOf("1"), 1);
  });
}

TEST_F(RequestPath, RetriesAnIdempotentRequestAFewTimes) {
  this->Run([] {
    SetBehaviour({{"lose_answers", true}});
    const auto response = SendRequest(http::verb::get, "1");
    EXPECT_EQ(VerdictOf(response), "may-have-run");
    EXPECT_GE(RunCountOf("1"), 2);
    EXPECT_LE(RunCountOf("1"), 4);
  });
}

TEST_F(RequestPath, ReportsATruncatedResponseAsAnError) {
  for (const std::uint64_t bytes : {1000, 1'000'000}) {
    this->Run([bytes] {
      SetBehaviour({{"truncate", true}, {"answer_bytes", bytes}});
      try {
        const auto response = SendRequest(http::verb::post, "1");
        // If the gateway sees the truncation before it has sent the head, it
        // sends an error response instead.
        EXPECT_EQ(response.result(), http::status::bad_gateway);
        EXPECT_EQ(VerdictOf(response), "may-have-run");
      } catch (const RequestError& error) {
        EXPECT_EQ(error.GetVerdict(), Verdict::kMayHaveRun);
      }
      EXPECT_EQ(RunCountOf("1"), 1);
    });
  }
}

TEST_F(RequestPath, ReplaysTheResponseForARepeatedIdempotencyKey) {
  this->Run([] {
    const auto first = SendRequest(http::verb::post, "1", "key");
    const auto second = SendRequest(http::verb::post, "1", "key");
    EXPECT_EQ(first.result(), http::status::ok);
    EXPECT_EQ(second.body(), first.body());
    EXPECT_EQ(second["currantbeam-replayed"], "1");
    EXPECT_EQ(RunCountOf("1"), 1);
  });
}

TEST_F(RequestPath, RejectsARepeatedKeyWhoseOutcomeIsUnknown) {
  this->Run([] {
    SetBehaviour({{"lose_answers", true}});
    SendRequest(http::verb::post, "1", "key");
    SetBehaviour({{"lose_answers", false}});
    const auto repeated = SendRequest(http::verb::post, "1", "key");
    EXPECT_EQ(repeated.result(), http::status::conflict);
    EXPECT_EQ(VerdictOf(repeated), "may-have-run");
    EXPECT_EQ(RunCountOf("1"), 1);
  });
}

TEST_F(RequestPath, ReportsAShedRequestAsNotRun) {
  this->behaviour.slots = 0;
  this->Run([] {
    SetBehaviour({{"queue_limit", 0}});
    const auto response = SendRequest(http::verb::post, "1");
    EXPECT_EQ(response.result(), http::status::service_unavailable);
    EXPECT_EQ(VerdictOf(response), "not-run");
    EXPECT_EQ(RunCountOf("1"), 0);
  });
}

TEST_F(RequestPath, ReportsARequestWithoutAGrantAsNotRun) {
  this->Run([this] {
    // A higher fencing token, as another gateway would hold it.
    BackendServer backend;
    backend.endpoint = {"127.0.0.1", kServerPort};
    Grant other;
    other.token = 1000;
    this->client.SendGrant(backend, other, kTimeout);
    const auto response = SendRequest(http::verb::post, "1");
    EXPECT_EQ(response.result(), http::status::service_unavailable);
    EXPECT_EQ(VerdictOf(response), "not-run");
    EXPECT_EQ(RunCountOf("1"), 0);
  });
}

TEST_F(RequestPath, ReportsAnUnreachableServerAsNotRun) {
  this->Run([this] {
    BackendServer unreachable;
    unreachable.endpoint = {"127.0.0.1", 1};
    HttpRequest order{http::verb::post, "/s/k", 11};
    BackendRequest request;
    request.request = &order;
    request.deadline = std::chrono::milliseconds(100);
    bool authorize_called = false;
    request.authorize = [&]() -> std::optional<FencingToken> {
      authorize_called = true;
      return 1;
    };
    try {
      this->client.Send(unreachable, request);
      FAIL() << "the request was sent";
    } catch (const RequestError& error) {
      EXPECT_EQ(error.GetVerdict(), Verdict::kNotRun);
    }
    EXPECT_FALSE(authorize_called);
  });
}

TEST_F(RequestPath, SendsNothingWithoutAuthorization) {
  this->Run([this] {
    BackendServer backend;
    backend.endpoint = {"127.0.0.1", kServerPort};
    HttpRequest order{http::verb::post, "/s/k", 11};
    order.set("x-request-id", "1");
    BackendRequest request;
    request.request = &order;
    request.deadline = kTimeout;
    request.authorize = []() -> std::optional<FencingToken> {
      return std::nullopt;
    };
    try {
      this->client.Send(backend, request);
      FAIL() << "the request was sent";
    } catch (const RequestError& error) {
      EXPECT_EQ(error.GetVerdict(), Verdict::kNotRun);
    }
    EXPECT_EQ(RunCountOf("1"), 0);
  });
}

struct InvalidRequestCase {
  std::string name;
  std::string target;
  std::size_t header_bytes;
  std::size_t body_bytes;
  unsigned status;
};

class InvalidRequests : public RequestPath,
                        public testing::WithParamInterface<InvalidRequestCase> {
};

TEST_P(InvalidRequests, AreRejectedAndNotRun) {
  const auto& test_case = GetParam();
  this->Run([&] {
    HttpRequest request{http::verb::post, test_case.target, 11};
    request.set("x-request-id", "1");
    if (test_case.header_bytes != 0) {
      request.set("x-filler", std::string(test_case.header_bytes, 'x'));
    }
    request.body() = std::string(test_case.body_bytes, 'x');
    const auto response =
        Fetch("127.0.0.1", kClientPort, std::move(request), kTimeout);
    EXPECT_EQ(response.result_int(), test_case.status);
    EXPECT_EQ(VerdictOf(response), "not-run");
    EXPECT_EQ(RunCountOf("1"), 0);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Table, InvalidRequests,
    testing::Values(InvalidRequestCase{"UnknownService", "/t/k", 0, 0, 400},
                    InvalidRequestCase{"MissingKey", "/s/", 0, 0, 400},
                    InvalidRequestCase{"LargeHeader", "/s/k", 20'000, 0, 431},
                    InvalidRequestCase{"LargeBody", "/s/k", 0, 2000, 413}),
    [](const auto& info) { return info.param.name; });

TEST_F(RequestPath, StreamsALargeResponseToASlowClient) {
  this->Run([] {
    constexpr std::uint64_t kBytes = 8'000'000;
    SetBehaviour({{"answer_bytes", kBytes}});
    HttpConnection connection("127.0.0.1", kClientPort);
    connection.Connect(kTimeout);
    HttpRequest request{http::verb::get, "/s/k", 11};
    connection.Exchange(request, kTimeout);
    std::uint64_t received = 0;
    int parts = 0;
    while (true) {
      const auto part = connection.ReadBody(kTimeout);
      if (part.empty()) break;
      received += part.size();
      if (++parts % 20 == 0) SleepFor(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(received, kBytes);
  });
}

}  // namespace
}  // namespace currantbeam
