#include <gtest/gtest.h>

#include "fiber_test.h"
#include "port_block.h"
#include "router/router.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr RequestFingerprint kRequest = 7;

/// Is never called, as no coordinator holds the lease.
class NoServers : public GrantClient {
 public:
  auto Grant(const GrantCall& /*call*/) -> GrantResult override { return {}; }
  auto Release(const KeyOwner& /*owner*/, KeyRange /*keys*/,
               FencingToken /*token*/, milliseconds /*timeout*/)
      -> ReleaseReply override {
    return {};
  }
};

TEST(PeerExchange, HostsWithoutAKnownCoordinatorPermitTrialsThemselves) {
  SteadyClock clock;
  MemoryStore store(clock);
  RelayedStore relayed(store, clock, {}, Duration(0));
  TableReadServer reads(relayed, store, 0, 1);
  KnownHosts hosts(clock, "", 1);
  RouterSettings settings;
  settings.peers = {"127.0.0.1", TestPort(0)};
  LoadRecorder loads;
  OwnerDirectory owners(clock);
  FleetSize fleet;
  RequestQuarantine quarantine;
  BackendDirectory directory(clock);
  NoServers servers;
  KeyCoordinator coordinator(store, servers, clock, directory, {},
                             [](const OwnerUpdate& /*update*/) {});
  PeerExchange exchange(settings, clock, loads, owners, fleet, quarantine,
                        relayed, reads, hosts, Duration(0));
  FiberLoop loop;
  RunInFiber(loop, [&] {
    exchange.Start(loop, coordinator);
    EXPECT_TRUE(exchange.Acquire(kRequest, std::chrono::seconds(1)));
    EXPECT_FALSE(exchange.Acquire(kRequest, std::chrono::seconds(1)));
    exchange.Release(kRequest);
    SleepFor(milliseconds(10));
    EXPECT_TRUE(exchange.Acquire(kRequest, std::chrono::seconds(1)));
  });
}

/// A coordinator that accepts reports and grants trials after a delay.
class SlowCoordinator : public HttpHandler {
 public:
  static constexpr int kHostCount = 7;
  static constexpr auto kTrialDelay = milliseconds(200);

  auto Handle(HttpExchange& exchange) -> void override {
    HttpResponse response{http::status::ok, 11};
    if (exchange.Request().target() == "/trials") {
      SleepFor(kTrialDelay);
      response.body() = QuarantineState().Encode();
    } else {
      LoadReportReply reply;
      reply.host_count = kHostCount;
      response.body() = reply.Encode();
    }
    exchange.Send(std::move(response));
  }
  auto OnBadInput(const std::string& /*what*/) -> void override {}
};

auto LeaseOptions(const std::string& holder, std::uint16_t port)
    -> KeyCoordinator::Options {
  KeyCoordinator::Options options;
  options.lease.holder = holder;
  options.lease.endpoint = "127.0.0.1:" + std::to_string(port);
  return options;
}

TEST(PeerExchange, WaitsForNoPermitLongerThanTheRequestMayTake) {
  SteadyClock clock;
  MemoryStore store(clock);
  RelayedStore relayed(store, clock, {}, Duration(0));
  TableReadServer reads(relayed, store, 0, 1);
  KnownHosts hosts(clock, "", 1);
  RouterSettings settings;
  settings.peers = {"127.0.0.1", TestPort(1)};
  LoadRecorder loads;
  OwnerDirectory owners(clock);
  FleetSize fleet;
  RequestQuarantine quarantine;
  BackendDirectory directory(clock);
  NoServers servers;
  const auto ignore = [](const OwnerUpdate& /*update*/) {};
  KeyCoordinator active(store, servers, clock, directory,
                        LeaseOptions("a", TestPort(2)), ignore);
  KeyCoordinator standby(store, servers, clock, directory,
                         LeaseOptions("b", TestPort(1)), ignore);
  SlowCoordinator slow;
  HttpServer slow_server(LocalServerOptions(TestPort(2)), slow);
  PeerExchange exchange(settings, clock, loads, owners, fleet, quarantine,
                        relayed, reads, hosts, Duration(0));
  FiberLoop loop;
  RunInFiber(loop, [&] {
    slow_server.Listen(loop);
    active.Start();
    while (!active.IsActive()) SleepFor(milliseconds(5));
    standby.Start();
    exchange.Start(loop, standby);
    while (fleet.Hosts(clock.Now()) != SlowCoordinator::kHostCount) {
      SleepFor(milliseconds(5));
    }
    EXPECT_FALSE(exchange.Acquire(kRequest, milliseconds(50)));
    EXPECT_TRUE(exchange.Acquire(kRequest, std::chrono::seconds(2)));
  });
}

}  // namespace
}  // namespace currantbeam
