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
                        relayed, Duration(0));
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

}  // namespace
}  // namespace currantbeam
