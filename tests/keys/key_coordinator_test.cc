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

}  // namespace
}  // namespace currantbeam
