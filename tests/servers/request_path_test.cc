#include "request_path.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "gateway/response_relay.h"

namespace currantbeam {
namespace {

/// A gateway that loses the server's answers to the first requests that it
/// receives, and refuses all later ones.
class RefusingGateway : public HttpHandler {
 public:
  explicit RefusingGateway(int lost_answers) : lost_answers(lost_answers) {}
  auto Handle(HttpExchange& exchange) -> void override {
    ++this->received;
    if (this->received <= this->lost_answers) {
      SendErrorResponse(exchange, http::status::bad_gateway,
                        Verdict::kMayHaveRun, "lost");
      return;
    }
    SendErrorResponse(exchange, http::status::service_unavailable,
                      Verdict::kNotRun, "refused", std::chrono::seconds(7));
  }
  auto OnBadInput(const std::string& /*message*/) -> void override {}
  [[nodiscard]] auto Received() const -> int { return this->received; }

 private:
  int lost_answers;
  int received = 0;
};

/// A gateway that responds to requests with any status.
class StrangeGateway : public HttpHandler {
 public:
  auto Handle(HttpExchange& exchange) -> void override {
    HttpResponse response;
    response.result(this->status);
    response.set(http::field::content_length, "4");
    response.body() = "body";
    exchange.Send(std::move(response));
  }
  auto OnBadInput(const std::string& /*message*/) -> void override {}

  unsigned status = 200;
};

constexpr std::array<unsigned, 7> kStatusesOutsideTheProtocol = {
    0, 1, 99, 101, 199, 600, 999};

TEST_F(RequestPath, RelaysNoStatusOutsideTheProtocol) {
  this->Run([] {
    for (const auto status : kStatusesOutsideTheProtocol) {
      SetBehaviour({{"status", status}});
      const auto key = std::to_string(status);
      const auto response = SendRequest(http::verb::post, key);
      EXPECT_EQ(response.result(), http::status::bad_gateway) << status;
      EXPECT_EQ(VerdictOf(response), "may-have-run") << status;
      EXPECT_EQ(RunCountOf(key), 1);
    }
  });
}

TEST_F(RequestPath, RelaysNoStatusOutsideTheProtocolOfAnotherGateway) {
  this->driver = HostId("other");
  StrangeGateway gateway;
  HttpServer port(LocalServerOptions(kOtherGatewayPort), gateway);
  this->Run([&] {
    port.Listen(FiberLoop::Current());
    for (const auto status : kStatusesOutsideTheProtocol) {
      gateway.status = status;
      const auto response = SendRequest(http::verb::post, "1");
      EXPECT_EQ(response.result(), http::status::bad_gateway) << status;
      EXPECT_EQ(VerdictOf(response), "may-have-run") << status;
    }
    port.StopAccepting();
  });
}

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

TEST_F(RequestPath, DoesNotReportARequestAsRefusedAfterAnAttemptThatRan) {
  this->behaviour.work = std::chrono::milliseconds(500);
  this->Run([this] {
    SetBehaviour({{"lose_answers", true}});
    FiberLoop::Current().Spawn([this] {
      while (RunCountOf("1") == 0) SleepFor(std::chrono::milliseconds(5));
      // Another holder's token, so that the server rejects the second attempt.
      BackendServer backend;
      backend.endpoint = {"127.0.0.1", kServerPort};
      Grant other;
      other.token = 1000;
      this->client.SendGrant(backend, other, kTimeout);
    });
    const auto response = SendRequest(http::verb::get, "1");
    EXPECT_EQ(response.result(), http::status::gateway_timeout);
    EXPECT_EQ(VerdictOf(response), "may-have-run");
    EXPECT_EQ(RunCountOf("1"), 1);
  });
}

TEST_F(RequestPath, DoesNotReportARequestAsRefusedAfterAForwardedOneThatRan) {
  this->driver = HostId("other");
  RefusingGateway gateway(1);
  HttpServer port(LocalServerOptions(kOtherGatewayPort), gateway);
  this->Run([&] {
    port.Listen(FiberLoop::Current());
    const auto response = SendRequest(http::verb::get, "1");
    EXPECT_EQ(response.result(), http::status::gateway_timeout);
    EXPECT_EQ(VerdictOf(response), "may-have-run");
    EXPECT_EQ(gateway.Received(), 2);
    port.StopAccepting();
  });
}

TEST_F(RequestPath, KeepsTheRetryAfterOfAGatewayThatRefuses) {
  this->driver = HostId("other");
  RefusingGateway gateway(0);
  HttpServer port(LocalServerOptions(kOtherGatewayPort), gateway);
  this->Run([&] {
    port.Listen(FiberLoop::Current());
    const auto response = SendRequest(http::verb::post, "1");
    EXPECT_EQ(response.result(), http::status::service_unavailable);
    EXPECT_EQ(VerdictOf(response), "not-run");
    EXPECT_EQ(response[http::field::retry_after], "7");
    EXPECT_EQ(gateway.Received(), 1);
    port.StopAccepting();
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
