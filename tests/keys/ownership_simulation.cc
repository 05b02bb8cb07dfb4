#include "keys/ownership_simulation.h"

#include <algorithm>
#include <functional>
#include <set>

namespace currantbeam {
namespace {

constexpr double kSlowClock = 1.02;
/// How often a call to the store takes so long that others are made meanwhile.
constexpr double kInterleaving = 0.5;
/// Each server is called several times a second, as it is with many stripes.
auto WorldTiming() -> GrantTiming {
  GrantTiming timing;
  timing.renewal_interval = std::chrono::milliseconds(400);
  return timing;
}

const auto kTimeout = GrantTiming().call_timeout;

}  // namespace

/// The store as one host reaches it.
class OwnershipSimulation::HostStore : public StoreClient {
 public:
  HostStore(MemoryStore& store, const Clock& clock)
      : store(store), clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override {
    this->Interleave();
    if (this->is_cut) throw StoreError("cut off");
    return this->store.Read(table, partition);
  }
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override {
    if (this->is_cut) throw StoreError("cut off");
    return this->store.Follow(table, after, wait);
  }
  auto Write(const StoreWrite& write) -> WriteResult override {
    this->Interleave();
    if (this->is_cut) return {};
    if (this->is_late) {
      this->late.emplace_back(this->clock.Now() + std::chrono::seconds(2),
                              write);
      return {};
    }
    const auto result = this->store.Write(write);
    this->Interleave();
    return this->loses_answers ? WriteResult() : result;
  }
  auto ApplyLateWrites() -> void {
    while (!this->late.empty() &&
           this->late.front().first <= this->clock.Now()) {
      this->store.Write(this->late.front().second);
      this->late.pop_front();
    }
  }

  /// What the host does while it waits for an answer.
  std::function<void()> meanwhile;
  bool is_cut = false;
  bool is_late = false;
  bool loses_answers = false;

 private:
  auto Interleave() const -> void {
    if (this->meanwhile) this->meanwhile();
  }

  MemoryStore& store;
  const Clock& clock;
  std::deque<std::pair<TimePoint, StoreWrite>> late;
};

struct OwnershipSimulation::Host {
  Host(MemoryStore& memory, const Clock& clock, const std::string& name)
      : store(memory, clock),
        lease(store, clock, {name, ""}),
        service(ServiceName("s"), store, clock, lease, WorldTiming(),
                kStripes) {}

  HostStore store;
  CoordinatorLease lease;
  ServiceCoordinator service;
  TimePoint lease_due{};
  bool is_frozen = false;
  int life = 0;
};

OwnershipSimulation::OwnershipSimulation(unsigned seed)
    : store(this->clock), random(seed) {
  for (int i = 0; i < kHosts; ++i) {
    this->hosts.push_back(std::make_unique<Host>(this->store, this->clock,
                                                 "h" + std::to_string(i)));
  }
  for (int i = 0; i < kServers; ++i) {
    Server server;
    server.owner = {ServerId("s" + std::to_string(i)),
                    std::chrono::milliseconds(1), "10.0.0.1",
                    static_cast<std::uint16_t>(100 + i)};
    server.registered = server.owner;
    this->servers.push_back(server);
  }
}

OwnershipSimulation::~OwnershipSimulation() = default;

auto OwnershipSimulation::Chance(double chance) -> bool {
  return std::uniform_real_distribution<>(0, 1)(this->random) < chance;
}

auto OwnershipSimulation::Run(const std::vector<OwnerFault>& faults, int steps)
    -> void {
  for (int i = 0; i < steps && this->violation.empty(); ++i) {
    this->Step(faults);
  }
}

auto OwnershipSimulation::Settle(int most) -> int {
  for (int i = 0; i < most; ++i) {
    this->Step({});
    if (!this->violation.empty()) return -1;
    if (this->HeldStripes() == kStripes) return i;
  }
  return -1;
}

auto OwnershipSimulation::HeldStripes() const -> int {
  int held = 0;
  for (int stripe = 0; stripe < kStripes; ++stripe) {
    held += std::any_of(this->servers.begin(), this->servers.end(),
                        [&](const Server& server) {
                          return server.is_up && server.is_registered &&
                                 server.holds[stripe].until > this->clock.Now();
                        });
  }
  return held;
}

auto OwnershipSimulation::Step(const std::vector<OwnerFault>& faults) -> void {
  this->ApplyFaults(faults);
  for (int i = 0; i < kHosts; ++i) this->StepHost(i);
  this->DeliverCalls();
  this->CheckHolds();
  this->clock.Advance(kStep);
  ++this->step;
}

auto OwnershipSimulation::ApplyFaults(const std::vector<OwnerFault>& faults)
    -> void {
  for (auto& host : this->hosts) {
    host->is_frozen = false;
    host->store.is_cut = false;
    host->store.is_late = false;
    host->store.loses_answers = false;
    host->store.ApplyLateWrites();
  }
  for (auto& server : this->servers) {
    server.is_silent = false;
    server.is_registered = server.is_up;
    if (this->step >= server.restarted_at + kEntryLagSteps) {
      server.registered = server.owner;
    }
  }
  this->store.SetDown(false);
  this->orders_late = false;
  std::set<int> down;
  for (const auto& fault : faults) {
    const bool is_on =
        this->step >= fault.start && this->step < fault.start + fault.length;
    auto& host = this->hosts[fault.which % kHosts];
    auto& server = this->servers[fault.which % kServers];
    using Kind = OwnerFault::Kind;
    if (fault.kind == Kind::kServerCrash) {
      const int length = std::max(fault.length, kLeastDownSteps);
      const bool is_down =
          this->step >= fault.start && this->step < fault.start + length;
      // The entry of a server that is down lapses after a while.
      const bool is_lapsed = this->step > fault.start + kEntryLapseSteps;
      if (is_down) down.insert(fault.which % kServers);
      if (is_down) server.is_registered = !is_lapsed;
    }
    if (fault.kind == Kind::kHostRestart && this->step == fault.start) {
      const auto life = host->life + 1;
      const auto name = "h" + std::to_string(fault.which % kHosts) + "/" +
                        std::to_string(life);
      host = std::make_unique<Host>(this->store, this->clock, name);
      host->life = life;
    }
    if (!is_on) continue;
    host->is_frozen |= fault.kind == Kind::kHostFreeze;
    host->store.is_cut |= fault.kind == Kind::kStoreCut;
    host->store.is_late |= fault.kind == Kind::kLateWrites;
    host->store.loses_answers |= fault.kind == Kind::kLostAnswers;
    server.is_silent |= fault.kind == Kind::kServerSilent;
    if (fault.kind == Kind::kServerLeaves) server.is_registered = false;
    if (fault.kind == Kind::kStoreDown) this->store.SetDown(true);
    this->orders_late |= fault.kind == Kind::kLateOrders;
  }
  for (int i = 0; i < kServers; ++i) {
    this->SetUp(this->servers[i], down.count(i) == 0);
  }
}

auto OwnershipSimulation::SetUp(Server& server, bool is_up) -> void {
  if (is_up && !server.is_up) {
    server.owner.started += std::chrono::milliseconds(1);
    server.restarted_at = this->step;
    server.holds.assign(kStripes, Hold());
  }
  server.is_up = is_up;
}

auto OwnershipSimulation::StepHost(int index) -> void {
  auto& host = *this->hosts[index];
  if (host.is_frozen) return;
  const auto now = this->clock.Now();
  if (now >= host.lease_due) host.lease_due = now + host.lease.Step();
  if (!host.lease.IsHeld()) return;
  host.store.meanwhile = [this, index] { this->CallMeanwhile(index); };
  host.service.LoadIfNeeded();
  this->CallServers(index);
  host.service.CommitChanges();
  host.store.meanwhile = nullptr;
}

auto OwnershipSimulation::CallServers(int index) -> void {
  auto& host = *this->hosts[index];
  if (!host.lease.IsHeld()) return;
  std::vector<EligibleServer> known;
  for (const auto& server : this->servers) {
    if (!server.is_registered) continue;
    const auto& entry = server.registered;
    known.push_back({entry, 1});
    host.service.Scheduler().OnAddressReused(entry.address, entry.port,
                                             entry.id, entry.started);
  }
  const auto commands = host.service.TakeDueCommands(known);
  for (const auto& command : commands) this->Send(index, command);
}

auto OwnershipSimulation::CallMeanwhile(int index) -> void {
  if (!this->Chance(kInterleaving)) return;
  this->DeliverCalls();
  this->CheckHolds();
  this->clock.Advance(kStep);
  this->CallServers(index);
}

auto OwnershipSimulation::Send(int host, const KeyCommand& command) -> void {
  Call call;
  call.host = host;
  call.life = this->hosts[host]->life;
  call.command = command;
  const auto* server = this->ServerOf(command.owner);
  if (!server->is_up) {
    // The connection is refused.
    this->hosts[host]->service.Scheduler().OnOwnerUnreachable(command.owner);
    this->hosts[host]->service.Scheduler().OnNotSent(command);
    return;
  }
  call.server_life = server->owner.started;
  call.arrives = this->clock.Now() + (this->Chance(0.2) ? kTimeout : kStep);
  call.carried_out = call.arrives;
  if (this->orders_late && this->Chance(0.5)) {
    call.carried_out += std::chrono::milliseconds(2000 + this->random() % 8000);
    call.is_answered = false;
  }
  this->calls.push_back(call);
}

auto OwnershipSimulation::ServerOf(const KeyOwner& owner) -> Server* {
  for (auto& server : this->servers) {
    // What listens at the address gets the call, whoever it was meant for.
    if (server.owner.port == owner.port) return &server;
  }
  return nullptr;
}

auto OwnershipSimulation::DeliverCalls() -> void {
  const auto now = this->clock.Now();
  std::deque<Call> due;
  std::deque<Call> rest;
  for (auto& call : this->calls) {
    (call.carried_out <= now ? due : rest).push_back(call);
  }
  // Unanswered calls are given up by their sender at the time-out.
  for (auto& call : rest) {
    const bool is_given_up = !call.is_answered && call.arrives <= now;
    if (!is_given_up || call.host < 0) continue;
    this->Reply(call, GrantReply::kNoResponse, {});
    call.host = -1;
  }
  this->calls = std::move(rest);
  for (const auto& call : due) {
    auto* server = this->ServerOf(call.command.owner);
    // What one life of a server was sent, another never sees.
    const bool is_reached = server->is_up && !server->is_silent &&
                            server->owner.started == call.server_life;
    if (is_reached) {
      this->CarryOut(call, *server);
    } else if (call.is_answered) {
      this->Reply(call, GrantReply::kNoResponse, {});
    }
  }
}

auto OwnershipSimulation::CarryOut(const Call& call, Server& server) -> void {
  auto& hold = server.holds[call.command.stripe];
  if (call.command.kind == KeyCommand::Kind::kRelease) {
    hold.seen = std::max(hold.seen, call.command.token);
    hold.until = TimePoint{};
    if (call.is_answered) {
      this->Reply(call, GrantReply::kNoResponse, {true, false, "hand-over"});
    }
    return;
  }
  if (call.command.token < hold.seen) {
    if (call.is_answered) this->Reply(call, GrantReply::kStaleToken, {});
    return;
  }
  const auto length = static_cast<double>(call.command.ttl.count());
  const auto until =
      call.arrives + Duration(static_cast<std::int64_t>(length * kSlowClock));
  hold.seen = call.command.token;
  hold.until = std::max(hold.until, until);
  if (until > this->clock.Now()) {
    // A life of a server counts as a server of its own.
    auto& last = this->last_taken[call.command.stripe];
    const bool is_other = !(last.first == server.owner);
    if (is_other && call.command.token <= last.second) {
      this->violation = "step " + std::to_string(this->step) +
                        ": a token did not rise from server to server";
    }
    last = {server.owner, call.command.token};
  }
  if (call.is_answered) this->Reply(call, GrantReply::kAccepted, {});
}

auto OwnershipSimulation::Reply(const Call& call, GrantReply grant,
                                const ReleaseReply& release) -> void {
  if (call.host < 0) return;
  auto& host = *this->hosts[call.host];
  if (host.life != call.life || host.is_frozen) {
    // A frozen host finds the time-out of the call when it wakes up.
    if (host.life == call.life) {
      host.service.Scheduler().OnNotSent(call.command);
    }
    return;
  }
  if (call.command.kind == KeyCommand::Kind::kGrant) {
    host.service.Scheduler().OnGrantReply(call.command, grant);
  } else {
    host.service.Scheduler().OnReleaseReply(call.command, release);
  }
}

auto OwnershipSimulation::CheckHolds() -> void {
  for (int stripe = 0; stripe < kStripes; ++stripe) {
    int holders = 0;
    for (const auto& server : this->servers) {
      const bool holds = server.holds[stripe].until > this->clock.Now();
      if (server.is_up && holds) ++holders;
    }
    if (holders > 1 && this->violation.empty()) {
      this->violation = "step " + std::to_string(this->step) + ": stripe " +
                        std::to_string(stripe) + " has two holders";
    }
  }
}

}  // namespace currantbeam
