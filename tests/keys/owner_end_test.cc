#include <gtest/gtest.h>

#include <map>

#include "fiber_test.h"
#include "keys/keys.h"
#include "keys/test_servers.h"
#include "store/store.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("s");
constexpr int kServers = 4;

/// Server processes by address. Records which of them hold a range.
class ListeningServers : public GrantClient {
 public:
  explicit ListeningServers(const Clock& clock) : clock(clock) {}

  auto Grant(const GrantCall& call) -> GrantResult override {
    if (this->throws) throw std::runtime_error("unforeseen");
    const auto status = this->Reach(call.owner, call.timeout);
    if (status == Status::kNotConnected) return {GrantReply::kConnectFailed};
    if (status == Status::kOther) return {GrantReply::kOtherServer};
    const auto now = this->clock.Now();
    auto& holds = this->holds[call.keys.first];
    for (const auto& [id, until] : holds) {
      const bool is_held = until > now && this->HasProcess(id);
      this->has_two_holders |= is_held && id != call.owner.id;
    }
    holds[call.owner.id] = now + call.ttl;
    return {GrantReply::kAccepted, 1};
  }
  auto Release(const KeyOwner& owner, KeyRange keys, FencingToken /*token*/,
               milliseconds timeout) -> ReleaseReply override {
    if (this->throws) throw std::runtime_error("unforeseen");
    ReleaseReply reply;
    const auto status = this->Reach(owner, timeout);
    reply.has_connect_failed = status == Status::kNotConnected;
    reply.is_other_server = status == Status::kOther;
    reply.is_released = status == Status::kReached;
    if (reply.is_released) this->holds[keys.first].erase(owner.id);
    return reply;
  }
  [[nodiscard]] auto HeldRanges() const -> int {
    int count = 0;
    for (const auto& [first, holders] : this->holds) {
      bool is_held = false;
      for (const auto& [id, until] : holders) {
        is_held |= until > this->clock.Now() && this->HasProcess(id);
      }
      count += is_held ? 1 : 0;
    }
    return count;
  }

  std::map<std::uint16_t, ServerId> listening;  ///< By port.
  std::uint16_t cut_port = 0;
  bool has_two_holders = false;
  bool throws = false;  ///< From each call.

 private:
  enum class Status { kReached, kNotConnected, kOther };

  auto Reach(const KeyOwner& owner, milliseconds timeout) const -> Status {
    const bool is_cut = owner.port == this->cut_port;
    SleepFor(is_cut ? timeout : milliseconds(1));
    if (is_cut) return Status::kNotConnected;
    const auto process = this->listening.find(owner.port);
    if (process == this->listening.end()) return Status::kNotConnected;
    return process->second == owner.id ? Status::kReached : Status::kOther;
  }
  [[nodiscard]] auto HasProcess(const ServerId& id) const -> bool {
    for (const auto& [port, process] : this->listening) {
      if (process == id) return true;
    }
    return false;
  }

  const Clock& clock;
  std::map<int, std::map<ServerId, TimePoint>> holds;  ///< By first key.
};

auto EntryOf(const KeyOwner& owner) -> BackendEntry {
  BackendEntry entry;
  entry.id = owner.id;
  entry.started = owner.started;
  entry.address = owner.address;
  entry.port = owner.port;
  entry.service = kService;
  entry.slots = 4;
  return entry;
}

/// Four servers that hold all keys, in simulated time.
class OwnerEndTest : public testing::Test {
 protected:
  /// Runs the body once the servers hold all keys.
  auto Run(const std::function<void()>& body,
           std::optional<std::uint64_t> expected_failures = 0) -> void {
    FiberLoop loop(this->clock);
    RunInFiber(
        loop,
        [&] {
          for (int i = 0; i < kServers; ++i) this->Start(MakeOwner(i));
          this->coordinator.SetServices({kService});
          this->coordinator.Start();
          SleepFor(seconds(10));
          ASSERT_EQ(this->servers.HeldRanges(), kDefaultStripeCount);
          body();
          this->coordinator.Stop();
        },
        expected_failures);
  }
  /// Starts a process and registers it.
  auto Start(const KeyOwner& owner) -> void {
    this->servers.listening[owner.port] = owner.id;
    this->directory.Apply(EntryOf(owner));
  }
  static auto MakeOptions() -> KeyCoordinator::Options {
    KeyCoordinator::Options options;
    options.lease.holder = "a";
    options.lease.is_first_start = true;
    return options;
  }

  ManualClock clock;
  MemoryStore store{this->clock};
  ListeningServers servers{this->clock};
  BackendDirectory directory{this->clock};
  KeyCoordinator coordinator{
      this->store,     this->servers, this->clock,
      this->directory, MakeOptions(), [](const OwnerUpdate& /*update*/) {}};
  KeyOwner owner = MakeOwner(0);
};

/// An entry at the address of a server that holds keys.
struct EntryCase {
  const char* name = "";
  const char* id = "other";
  const char* service = "s";
  int started_after_ms = 0;
};

class EntryAtAddress : public OwnerEndTest,
                       public testing::WithParamInterface<EntryCase> {
 protected:
  auto Put() -> void {
    auto entry = EntryOf(this->owner);
    entry.id = ServerId(GetParam().id);
    entry.service = ServiceName(GetParam().service);
    entry.started += milliseconds(GetParam().started_after_ms);
    this->directory.Apply(entry);
  }
};

// A row of another writer ended the grants of a server that was cut off, and
// its keys went to others while it held them.
TEST_P(EntryAtAddress, EndsNoGrantsOfAServerThatIsCutOff) {
  this->Run([this] {
    this->Put();
    this->servers.cut_port = this->owner.port;
    SleepFor(seconds(30));
    EXPECT_FALSE(this->servers.has_two_holders);
  });
}

// The failures of two servers at one address were counted as a row of either,
// so neither counted as unreachable, and the keys stayed with them.
TEST_P(EntryAtAddress, LeavesNoKeysWithAServerThatIsCutOff) {
  this->Run([this] {
    this->Put();
    this->servers.cut_port = this->owner.port;
    SleepFor(seconds(30));
    EXPECT_EQ(this->servers.HeldRanges(), kDefaultStripeCount);
  });
}

INSTANTIATE_TEST_SUITE_P(
    Entry, EntryAtAddress,
    testing::Values(
        EntryCase{"LaterServer", "other", "s", 5000},
        EntryCase{"LaterServerOfAForeignService", "other", "foreign", 5000},
        EntryCase{"FormerServer", "other", "s", -5000},
        EntryCase{"LaterProcessOfTheServer", "s0", "s", 5000},
        EntryCase{"TheServerUnderAForeignService", "s0", "foreign", 5000}),
    [](const auto& info) { return std::string(info.param.name); });

// The process ended, and with it the requests of its callers.
TEST_F(OwnerEndTest,
       ACallThatFailsInAnUnforeseenWayCountsAsOneWithoutAResponse) {
  const auto failures_before = FailedSteps();
  this->Run(
      [this] {
        this->servers.throws = true;
        SleepFor(seconds(2));
        this->servers.throws = false;
        SleepFor(seconds(30));
        EXPECT_FALSE(this->servers.has_two_holders);
        EXPECT_EQ(this->servers.HeldRanges(), kDefaultStripeCount);
      },
      std::nullopt);
  EXPECT_GT(FailedSteps(), failures_before);
}

TEST_F(OwnerEndTest, KeysAreServedSoonAfterAnotherServerStartsAtTheAddress) {
  Duration longest{0};
  this->Run([this, &longest] {
    for (int i = 0; i < 20; ++i) {
      this->servers.listening.erase(this->owner.port);
      SleepFor(milliseconds(2000 + 37 * i));
      this->directory.Remove(this->owner.id);
      this->owner.id = ServerId("next" + std::to_string(i));
      this->owner.started += milliseconds(1);
      this->Start(this->owner);
      const auto started_at = this->clock.Now();
      while (this->servers.HeldRanges() != kDefaultStripeCount) {
        SleepFor(milliseconds(10));
      }
      longest = std::max(longest, this->clock.Now() - started_at);
      SleepFor(seconds(10));
    }
  });
  // As long as it took when the entry alone ended the grants.
  EXPECT_LE(longest, milliseconds(830));
  EXPECT_FALSE(this->servers.has_two_holders);
}

}  // namespace
}  // namespace currantbeam
