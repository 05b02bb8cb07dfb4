#include "keys/key_coordinator.h"

#include <gtest/gtest.h>

#include <map>

#include "fiber_test.h"
#include "keys/test_servers.h"
#include "store/store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

const ServiceName kService("s");

/// Servers that accept all grants over one connection. One of them can be
/// restarted, which closes the connection.
class RestartingServers : public GrantClient {
 public:
  auto Grant(const GrantCall& call) -> GrantResult override {
    // A new connection to a process has the number of that process.
    const int process = this->process;
    const bool is_permitted =
        !call.max_connection ||
        *call.max_connection >= static_cast<ConnectionNumber>(process);
    if (!is_permitted) return {GrantReply::kNoConnection};
    SleepFor(milliseconds(1));
    if (process != this->process) return {GrantReply::kNoResponse};
    auto& last = this->accepted[call.keys.first];
    const bool is_other_process = last.process != process;
    this->has_reused_token |=
        is_other_process && last.process != 0 && call.token <= last.token;
    last = {process, call.token};
    ++this->grants_to_process;
    return {GrantReply::kAccepted, static_cast<ConnectionNumber>(process)};
  }
  auto Release(const KeyOwner& /*owner*/, KeyRange /*keys*/,
               FencingToken /*token*/, milliseconds /*timeout*/)
      -> ReleaseReply override {
    return {true, false, ""};
  }
  auto Restart() -> void {
    ++this->process;
    this->grants_to_process = 0;
  }

  int grants_to_process = 0;
  bool has_reused_token = false;

 private:
  struct Acceptance {
    int process = 0;
    FencingToken token = 0;
  };

  int process = 1;
  std::map<int, Acceptance> accepted;  ///< The last one, by first key.
};

/// Two servers that use one address in turn. The first one ends without notice.
class SuccessiveServers : public GrantClient {
 public:
  auto Grant(const GrantCall& call) -> GrantResult override {
    SleepFor(milliseconds(1));
    if (this->listening.IsEmpty()) return {GrantReply::kConnectFailed};
    if (call.owner.id != this->listening) return {GrantReply::kOtherServer};
    ++this->accepted;
    return {GrantReply::kAccepted, 1};
  }
  auto Release(const KeyOwner& owner, KeyRange /*keys*/, FencingToken /*token*/,
               milliseconds /*timeout*/) -> ReleaseReply override {
    SleepFor(milliseconds(1));
    ReleaseReply reply;
    reply.has_connect_failed = this->listening.IsEmpty();
    reply.is_released = owner.id == this->listening;
    reply.is_other_server = !reply.has_connect_failed && !reply.is_released;
    return reply;
  }

  ServerId listening;  ///< Empty while no server uses the address.
  int accepted = 0;
};

/// A server to which calls may be lost.
class LossyServer : public GrantClient {
 public:
  auto Grant(const GrantCall& /*call*/) -> GrantResult override {
    SleepFor(milliseconds(1));
    if (this->is_cut) return {GrantReply::kNoResponse};
    ++this->accepted;
    return {GrantReply::kAccepted, 1};
  }
  auto Release(const KeyOwner& /*owner*/, KeyRange /*keys*/,
               FencingToken /*token*/, milliseconds /*timeout*/)
      -> ReleaseReply override {
    SleepFor(milliseconds(1));
    return {!this->is_cut, false, ""};
  }

  bool is_cut = false;
  int accepted = 0;
};

auto MakeEntry() -> BackendEntry {
  const auto owner = MakeOwner(0);
  BackendEntry entry;
  entry.id = owner.id;
  entry.started = owner.started;
  entry.address = owner.address;
  entry.port = owner.port;
  entry.service = kService;
  entry.slots = 4;
  return entry;
}

TEST(KeyCoordinator, QueuedGrantsWithStaleTokensDoNotReachARestartedServer) {
  constexpr int kRestarts = 2;
  SteadyClock clock;
  MemoryStore store(clock);
  RestartingServers servers;
  BackendDirectory directory(clock);
  directory.Apply(MakeEntry());
  KeyCoordinator::Options options;
  options.lease.holder = "a";
  options.lease.is_first_start = true;
  options.grant_timing.renewal_interval = milliseconds(200);
  KeyCoordinator coordinator(store, servers, clock, directory, options,
                             [](const OwnerUpdate& /*update*/) {});
  FiberLoop loop;
  RunInFiber(loop, [&] {
    coordinator.SetServices({kService});
    coordinator.Start();
    for (int i = 0; i < kRestarts; ++i) {
      while (servers.grants_to_process < kDefaultStripeCount) {
        SleepFor(milliseconds(1));
      }
      servers.Restart();
    }
    coordinator.Stop();
  });
  EXPECT_FALSE(servers.has_reused_token);
}

TEST(KeyCoordinator, AServerGetsKeysAtTheAddressOfOneThatEndedLongBefore) {
  SteadyClock clock;
  MemoryStore store(clock);
  SuccessiveServers servers;
  BackendDirectory directory(clock);
  auto entry = MakeEntry();
  directory.Apply(entry);
  KeyCoordinator::Options options;
  options.lease.holder = "a";
  options.lease.is_first_start = true;
  options.grant_timing.renewal_interval = milliseconds(200);
  KeyCoordinator coordinator(store, servers, clock, directory, options,
                             [](const OwnerUpdate& /*update*/) {});
  FiberLoop loop;
  RunInFiber(loop, [&] {
    coordinator.SetServices({kService});
    coordinator.Start();
    servers.listening = entry.id;
    while (servers.accepted < kDefaultStripeCount) SleepFor(milliseconds(1));
    // The coordinator takes the server for unreachable before the next starts.
    servers.listening = ServerId();
    SleepFor(milliseconds(2500));
    directory.Remove(entry.id);
    entry.id = ServerId("next");
    entry.started += milliseconds(1);
    directory.Apply(entry);
    servers.listening = entry.id;
    servers.accepted = 0;
    const auto give_up_at = clock.Now() + std::chrono::seconds(15);
    while (servers.accepted == 0 && clock.Now() < give_up_at) {
      SleepFor(milliseconds(1));
    }
    coordinator.Stop();
  });
  EXPECT_GT(servers.accepted, 0);
}

TEST(KeyCoordinator, AServerGetsKeysAgainAfterACutLongerThanItsGrants) {
  SteadyClock clock;
  MemoryStore store(clock);
  LossyServer server;
  BackendDirectory directory(clock);
  directory.Apply(MakeEntry());
  KeyCoordinator::Options options;
  options.lease.holder = "a";
  options.lease.is_first_start = true;
  auto& timing = options.grant_timing;
  timing.renewal_interval = milliseconds(200);
  timing.ttl = timing.max_ttl = milliseconds(500);
  timing.call_timeout = milliseconds(50);
  KeyCoordinator coordinator(store, server, clock, directory, options,
                             [](const OwnerUpdate& /*update*/) {});
  FiberLoop loop;
  RunInFiber(loop, [&] {
    coordinator.SetServices({kService});
    coordinator.Start();
    while (server.accepted < kDefaultStripeCount) SleepFor(milliseconds(1));
    server.is_cut = true;
    // Calls pause and the grants expire meanwhile.
    SleepFor(milliseconds(5000));
    server.is_cut = false;
    server.accepted = 0;
    const auto give_up_at = clock.Now() + std::chrono::seconds(15);
    while (server.accepted == 0 && clock.Now() < give_up_at) {
      SleepFor(milliseconds(1));
    }
    coordinator.Stop();
  });
  EXPECT_GT(server.accepted, 0);
}

}  // namespace
}  // namespace currantbeam
