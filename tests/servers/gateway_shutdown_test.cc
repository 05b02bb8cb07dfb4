#include "gateway/gateway_shutdown.h"

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "request_path.h"

namespace currantbeam {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr int kIncompleteRequests = 8;
constexpr int kMaxPolls = 5000;
constexpr auto kClientTimeout = std::chrono::milliseconds(20'000);
constexpr const char* kWorkUs = "60000000";
/// How many requests a gateway sends at first to a server with four slots.
constexpr int kInitialConcurrency = 2;

/// A request of a client that waits for its response.
struct PendingRequest {
  bool is_done = false;
  std::optional<HttpResponse> response;  ///< Empty if the connection was cut.
};

/// A gateway that receives forwarded requests and never responds.
class UnresponsiveGateway : public HttpHandler {
 public:
  auto Handle(HttpExchange& /*exchange*/) -> void override {
    ++this->received;
    SleepFor(std::chrono::minutes(1));
  }
  auto OnBadInput(const std::string& /*message*/) -> void override {}
  [[nodiscard]] auto Received() const -> int { return this->received; }

 private:
  int received = 0;
};

/// The gateway of RequestPath with two workers, as its process runs them.
class GatewayStop : public RequestPath {
 protected:
  GatewayStop()
      : forwarding_handler(*this->state, *this->dispatcher),
        client_server(LocalServerOptions(kClientPort), *this->handler),
        forwarding_server(LocalServerOptions(kForwardingPort),
                          this->forwarding_handler),
        workers(2),
        shutdown(*this->state, *this->dispatcher, this->client_server,
                 this->forwarding_server, this->workers) {}

  /// Runs the body, which sends requests, then stops the gateway as its process
  /// does, waits for the clients and runs `check`.
  auto RunAndStop(
      const std::function<void()>& body,
      const std::function<void()>& check = [] {}) -> void {
    FiberLoop loop;
    this->server = std::make_unique<ServerHandler>(this->behaviour, 77);
    HttpServer server_port(LocalServerOptions(kServerPort), *this->server);
    HttpServer other_gateway_port(LocalServerOptions(kOtherGatewayPort),
                                  this->other_gateway);
    server_port.Listen(loop);
    other_gateway_port.Listen(loop);
    this->StartWorkers();
    RunInFiber(loop, [&] {
      this->BecomeDriver();
      body();
      this->shutdown.Run();
      this->are_workers_stopped = true;
      this->workers.Stop();
      for (const auto& pending : this->requests) {
        WaitUntil([&] { return pending->is_done; });
      }
      check();
    });
  }

  auto StartWorkers() -> void {
    for (std::size_t i = 0; i < this->workers.Size(); ++i) {
      this->client_server.Listen(this->workers.Loop(i));
      this->forwarding_server.Listen(this->workers.Loop(i));
      this->workers.Loop(i).Spawn([this] {
        while (!this->are_workers_stopped) {
          SleepFor(CancelOnPeerLoss::kCheckInterval);
          CancelOnPeerLoss::CheckAll();
        }
      });
    }
  }

  static auto WaitUntil(const std::function<bool()>& condition) -> void {
    for (int polls = 0; !condition(); ++polls) {
      if (polls == kMaxPolls) throw std::runtime_error("condition is not met");
      SleepFor(kPollInterval);
    }
  }

  auto Start(HttpRequest request, std::uint16_t port)
      -> std::shared_ptr<PendingRequest> {
    auto pending = std::make_shared<PendingRequest>();
    this->requests.push_back(pending);
    FiberLoop::Current().Spawn([pending, request = std::move(request), port] {
      try {
        pending->response = Fetch("127.0.0.1", port, request, kClientTimeout);
      } catch (const RequestError&) {
        pending->response.reset();
      }
      pending->is_done = true;
    });
    return pending;
  }

  /// Sends the beginning of a request, and waits for the end of the response.
  auto StartIncomplete(std::uint16_t port) -> std::shared_ptr<PendingRequest> {
    auto pending = std::make_shared<PendingRequest>();
    this->requests.push_back(pending);
    FiberLoop::Current().Spawn([pending, port] {
      TcpSocket socket(FiberLoop::Current().Io().get_executor());
      const boost::asio::ip::tcp::endpoint endpoint(
          boost::asio::ip::address_v4::loopback(), port);
      Await([&](auto handler) { socket.async_connect(endpoint, handler); });
      const std::string text =
          "PUT /s/k HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n12";
      Await([&](auto handler) {
        boost::asio::async_write(socket, boost::asio::buffer(text), handler);
      });
      boost::beast::flat_buffer buffer;
      HttpResponse response;
      const auto result = Await([&](auto handler) {
        http::async_read(socket, buffer, response, handler);
      });
      if (!result.error) pending->response = response;
      pending->is_done = true;
    });
    return pending;
  }

  /// Sends a request that its server would work on for longer than the stop.
  auto StartLong(http::verb method, const std::string& id)
      -> std::shared_ptr<PendingRequest> {
    return this->Start(MakeLongRequest(method, id), kClientPort);
  }

  static auto MakeLongRequest(http::verb method, const std::string& id)
      -> HttpRequest {
    HttpRequest request{method, "/s/k", 11};
    request.set("x-request-id", id);
    request.set("x-work-us", kWorkUs);
    return request;
  }

  static auto MakeForwardedRequest(const std::string& id) -> HttpRequest {
    auto request = MakeLongRequest(http::verb::put, id);
    request.set("currantbeam-hop-service", "s");
    request.set("currantbeam-hop-class", "long-order");
    request.set("currantbeam-hop-neighbour", "n");
    request.set("currantbeam-hop-hash", "1");
    request.set("currantbeam-hop-deadline-us", "60000000");
    return request;
  }

  /// Sends requests until the server has as many as the gateway allows.
  auto FillServer(http::verb method)
      -> std::vector<std::shared_ptr<PendingRequest>> {
    std::vector<std::shared_ptr<PendingRequest>> running;
    for (int i = 0; i < kInitialConcurrency; ++i) {
      const auto id = "running-" + std::to_string(i);
      running.push_back(this->StartLong(method, id));
      WaitUntil([&] { return RunCountOf(id) == 1; });
    }
    return running;
  }

  static auto ExpectResponse(const PendingRequest& pending, http::status status,
                             const std::string& verdict) -> void {
    ASSERT_TRUE(pending.response.has_value()) << "cut without a response";
    EXPECT_EQ(pending.response->result(), status);
    EXPECT_EQ(VerdictOf(*pending.response), verdict);
  }

  UnresponsiveGateway other_gateway;
  ForwardedRequestHandler forwarding_handler;
  HttpServer client_server;
  HttpServer forwarding_server;
  std::atomic<bool> are_workers_stopped{false};
  WorkerPool workers;
  GatewayShutdown shutdown;
  std::vector<std::shared_ptr<PendingRequest>> requests;
};

TEST_F(GatewayStop, AnswersRequestsThatTheirServerStillRuns) {
  std::vector<std::shared_ptr<PendingRequest>> running;
  this->RunAndStop([&] { running = this->FillServer(http::verb::put); });
  for (const auto& pending : running) {
    ExpectResponse(*pending, http::status::bad_gateway, "may-have-run");
  }
}

TEST_F(GatewayStop, DoesNotRetryIdempotentRequestsAtItsEnd) {
  std::vector<std::shared_ptr<PendingRequest>> running;
  this->RunAndStop([&] { running = this->FillServer(http::verb::delete_); },
                   [] { EXPECT_EQ(RunCountOf("running-0"), 1); });
  for (const auto& pending : running) {
    ExpectResponse(*pending, http::status::bad_gateway, "may-have-run");
  }
}

TEST_F(GatewayStop, RefusesRequestsThatWaitForASlot) {
  std::shared_ptr<PendingRequest> queued;
  this->RunAndStop([&] {
    this->FillServer(http::verb::put);
    queued = this->StartLong(http::verb::put, "queued");
    WaitUntil([&] {
      return this->client_server.InFlight() == kInitialConcurrency + 1;
    });
  });
  ExpectResponse(*queued, http::status::service_unavailable, "not-run");
}

TEST_F(GatewayStop, RefusesRequestsThatWaitForADriver) {
  this->driver = HostId();
  std::shared_ptr<PendingRequest> rerouted;
  this->RunAndStop([&] {
    rerouted = this->StartLong(http::verb::put, "rerouted");
    WaitUntil([&] { return this->client_server.InFlight() == 1; });
  });
  ExpectResponse(*rerouted, http::status::service_unavailable, "not-run");
}

TEST_F(GatewayStop, AnswersRequestsThatAnotherGatewayHolds) {
  this->driver = HostId("other");
  std::shared_ptr<PendingRequest> forwarded;
  this->RunAndStop([&] {
    forwarded = this->StartLong(http::verb::put, "forwarded");
    WaitUntil([&] { return this->other_gateway.Received() == 1; });
  });
  ExpectResponse(*forwarded, http::status::bad_gateway, "may-have-run");
}

TEST_F(GatewayStop, AnswersRequestsThatAnotherGatewayForwardedToIt) {
  std::shared_ptr<PendingRequest> forwarded;
  this->RunAndStop([&] {
    forwarded = this->Start(MakeForwardedRequest("forwarded"), kForwardingPort);
    WaitUntil([&] { return RunCountOf("forwarded") == 1; });
  });
  ExpectResponse(*forwarded, http::status::bad_gateway, "may-have-run");
}

TEST_F(GatewayStop, RejectsRequestsThatAreNotReceivedBeforeItsEnd) {
  std::vector<std::shared_ptr<PendingRequest>> incomplete;
  this->RunAndStop([&] {
    // Several, so that each worker receives some of them.
    for (int i = 0; i < kIncompleteRequests; ++i) {
      incomplete.push_back(this->StartIncomplete(kClientPort));
      incomplete.push_back(this->StartIncomplete(kForwardingPort));
    }
    WaitUntil([&] {
      return this->client_server.InFlight() == kIncompleteRequests &&
             this->forwarding_server.InFlight() == kIncompleteRequests;
    });
  });
  for (const auto& pending : incomplete) {
    ExpectResponse(*pending, http::status::service_unavailable, "not-run");
  }
}

TEST_F(GatewayStop, RefusesLateRequestsThatTheirServerCannotEndInTime) {
  std::shared_ptr<PendingRequest> late;
  this->RunAndStop(
      [&] {
        auto usual = MakeForwardedRequest("usual");
        usual.set("x-work-us", "3000000");
        const auto answered = this->Start(usual, kForwardingPort);
        WaitUntil([&] { return answered->is_done; });
        this->StartLong(http::verb::put, "running");
        WaitUntil([] { return RunCountOf("running") == 1; });
        FiberLoop::Current().Spawn([&] {
          WaitUntil([&] {
            return this->clock.Now() > this->state->Stop().accept_until;
          });
          late = this->Start(MakeForwardedRequest("late"), kForwardingPort);
        });
      },
      [] { EXPECT_EQ(RunCountOf("late"), 0); });
  ASSERT_NE(late, nullptr);
  ExpectResponse(*late, http::status::service_unavailable, "not-run");
}

TEST_F(GatewayStop, RefusesQueuedRequestsThatGetTheirSlotTooLate) {
  std::shared_ptr<PendingRequest> queued;
  this->RunAndStop(
      [&] {
        // The server takes half of the stop for each request.
        const auto start = [&](const std::string& id) {
          auto request = MakeLongRequest(http::verb::put, id);
          request.set("x-work-us", "3000000");
          return this->Start(request, kClientPort);
        };
        const auto usual = start("usual");
        WaitUntil([&] { return usual->is_done; });
        for (int i = 0; i < kInitialConcurrency; ++i) {
          const auto id = "running-" + std::to_string(i);
          start(id);
          WaitUntil([&] { return RunCountOf(id) == 1; });
        }
        queued = start("queued");
        WaitUntil([&] {
          return this->client_server.InFlight() == kInitialConcurrency + 1;
        });
      },
      [] { EXPECT_EQ(RunCountOf("queued"), 0); });
  ExpectResponse(*queued, http::status::service_unavailable, "not-run");
}

}  // namespace
}  // namespace currantbeam
