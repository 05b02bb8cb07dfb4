#include "keys/ownership_simulation.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace currantbeam {
namespace {

constexpr double kClockDriftFactor = 1.02;
/// Probability that calls to servers are made during a call to the store.
constexpr double kInterleavingProbability = 0.5;
/// Probabilities that a host opens another connection to a server, and that the
/// server closes one, in a step.
constexpr double kOpenProbability = 0.05;
constexpr double kCloseProbability = 0.02;
/// Renews grants so often that each server is called several times a second, as
/// it is with many stripes.
auto SimulationTiming() -> GrantTiming {
  GrantTiming timing;
  timing.renewal_interval = std::chrono::milliseconds(400);
  return timing;
}

const auto kCallTimeout = GrantTiming().call_timeout;

constexpr int kCopyAges = 9;
constexpr auto kMinCopyAge = std::chrono::seconds(1);

}  // namespace

auto CopyAgeOf(const OwnerFault& fault) -> Duration {
  // The first targets get ages that are far apart.
  return kMinCopyAge + std::chrono::seconds(fault.target * 4 % kCopyAges);
}

/// One host's connection to the store, with its faults.
class OwnershipSimulation::HostStore : public StoreClient {
 public:
  HostStore(MemoryStore& store, const Clock& clock)
      : store(store), clock(clock) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override {
    this->RunDuringCall();
    if (this->is_cut) throw StoreError("store unreachable");
    return this->store.Read(table, partition);
  }
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override {
    if (this->is_cut) throw StoreError("store unreachable");
    return this->store.Follow(table, after, wait);
  }
  auto Write(const StoreWrite& write) -> WriteResult override {
    this->RunDuringCall();
    if (this->is_cut) return {};
    if (this->is_delayed) {
      this->delayed_writes.emplace_back(
          this->clock.Now() + std::chrono::seconds(2), write);
      return {};
    }
    const auto result = this->store.Write(write);
    this->RunDuringCall();
    return this->loses_responses ? WriteResult() : result;
  }
  auto ApplyDelayedWrites() -> void {
    while (!this->delayed_writes.empty() &&
           this->delayed_writes.front().first <= this->clock.Now()) {
      const auto result =
          this->store.Write(this->delayed_writes.front().second);
      // While the store is down, the writes stay delayed.
      if (result.outcome == WriteOutcome::kUnknown) return;
      this->delayed_writes.pop_front();
    }
  }

  /// Run while the host waits for a response.
  std::function<void()> during_call;
  bool is_cut = false;
  bool is_delayed = false;
  bool loses_responses = false;

 private:
  auto RunDuringCall() const -> void {
    if (this->during_call) this->during_call();
  }

  MemoryStore& store;
  const Clock& clock;
  std::deque<std::pair<TimePoint, StoreWrite>> delayed_writes;
};

struct OwnershipSimulation::Host {
  Host(MemoryStore& shared_store, const Clock& clock, const std::string& name)
      : store(shared_store, clock),
        lease(store, clock, {name, ""}),
        service(ServiceName("s"), store, clock, lease, SimulationTiming(),
                kStripes) {}

  HostStore store;
  CoordinatorLease lease;
  ServiceCoordinator service;
  auto Open(int server, std::chrono::milliseconds server_started)
      -> Connection {
    this->connections[server].push_back(
        {++this->newest_connection, server_started});
    return this->connections[server].back();
  }

  TimePoint lease_due{};
  bool is_frozen = false;
  int incarnation = 0;
  std::array<std::deque<Connection>, kServers> connections;
  ConnectionNumber newest_connection = 0;
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

auto OwnershipSimulation::RandomBool(double probability) -> bool {
  return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

auto OwnershipSimulation::Run(const std::vector<OwnerFault>& faults, int steps)
    -> void {
  for (int i = 0; i < steps && this->violation.empty(); ++i) {
    this->Step(faults);
  }
}

auto OwnershipSimulation::RunUntilAllHeld(int max_steps) -> int {
  for (int i = 0; i < max_steps; ++i) {
    this->Step({});
    if (!this->violation.empty()) return -1;
    if (this->HeldStripes() == kStripes) return i;
  }
  return -1;
}

auto OwnershipSimulation::HeldStripes() const -> int {
  int held = 0;
  for (int stripe = 0; stripe < kStripes; ++stripe) {
    held += std::any_of(
        this->servers.begin(), this->servers.end(), [&](const Server& server) {
          return server.is_up && server.is_registered &&
                 server.grants[stripe].expires_at > this->clock.Now();
        });
  }
  return held;
}

auto OwnershipSimulation::Step(const std::vector<OwnerFault>& faults) -> void {
  this->ApplyFaults(faults);
  this->copies.push_back(this->store.TakeCopy());
  for (int i = 0; i < kHosts; ++i) this->StepHost(i);
  this->DeliverCalls();
  this->CheckHolders();
  this->clock.Advance(kStep);
  ++this->step;
}

auto OwnershipSimulation::ApplyFaults(const std::vector<OwnerFault>& faults)
    -> void {
  for (auto& host : this->hosts) {
    host->is_frozen = false;
    host->store.is_cut = false;
    host->store.is_delayed = false;
    host->store.loses_responses = false;
    host->store.ApplyDelayedWrites();
  }
  for (auto& server : this->servers) {
    server.is_unresponsive = false;
    server.is_registered = server.is_up;
    if (this->step >= server.restarted_at + kRegistrationLagSteps) {
      server.registered = server.owner;
    }
  }
  this->store.SetDown(false);
  this->are_calls_delayed = false;
  std::set<int> down;
  for (const auto& fault : faults) {
    const bool is_active =
        this->step >= fault.start && this->step < fault.start + fault.length;
    auto& host = this->hosts[fault.target % kHosts];
    auto& server = this->servers[fault.target % kServers];
    using Kind = OwnerFault::Kind;
    if (fault.kind == Kind::kServerCrash) {
      const int length = std::max(fault.length, kMinDownSteps);
      const bool is_down =
          this->step >= fault.start && this->step < fault.start + length;
      // The registration of a server that is down expires with a delay.
      const bool has_registration_expired =
          this->step > fault.start + kRegistrationExpirySteps;
      if (is_down) down.insert(fault.target % kServers);
      if (is_down) server.is_registered = !has_registration_expired;
    }
    if (fault.kind == Kind::kHostRestart && this->step == fault.start) {
      const auto incarnation = host->incarnation + 1;
      const auto name = "h" + std::to_string(fault.target % kHosts) + "/" +
                        std::to_string(incarnation);
      host = std::make_unique<Host>(this->store, this->clock, name);
      host->incarnation = incarnation;
    }
    if (fault.kind == Kind::kStoreRestored &&
        this->step == fault.start + fault.length) {
      this->RestoreStore(fault);
    }
    if (!is_active) continue;
    host->is_frozen |= fault.kind == Kind::kHostFreeze;
    host->store.is_cut |= fault.kind == Kind::kStoreCut;
    host->store.is_delayed |= fault.kind == Kind::kDelayedWrites;
    host->store.loses_responses |= fault.kind == Kind::kLostResponses;
    server.is_unresponsive |= fault.kind == Kind::kServerUnresponsive;
    if (fault.kind == Kind::kServerLeaves) server.is_registered = false;
    const bool is_store_down =
        fault.kind == Kind::kStoreDown || fault.kind == Kind::kStoreRestored;
    if (is_store_down) this->store.SetDown(true);
    this->are_calls_delayed |= fault.kind == Kind::kDelayedCalls;
  }
  for (int i = 0; i < kServers; ++i) {
    this->SetUp(this->servers[i], down.count(i) == 0);
  }
}

auto OwnershipSimulation::RestoreStore(const OwnerFault& fault) -> void {
  const int age_steps = static_cast<int>(CopyAgeOf(fault) / kStep);
  const auto first =
      this->copies.begin() + std::max(0, fault.start - age_steps);
  this->store.Restore(*first);
  // The later copies are lost, too.
  std::fill(first, this->copies.end(), MemoryStore::Copy(*first));
}

auto OwnershipSimulation::SetUp(Server& server, bool is_up) -> void {
  if (is_up && !server.is_up) {
    server.owner.started += std::chrono::milliseconds(1);
    server.restarted_at = this->step;
    server.grants.assign(kStripes, ServerGrant());
  }
  server.is_up = is_up;
}

auto OwnershipSimulation::StepHost(int index) -> void {
  auto& host = *this->hosts[index];
  if (host.is_frozen) return;
  const auto now = this->clock.Now();
  if (now >= host.lease_due) host.lease_due = now + host.lease.Step();
  if (!host.lease.IsHeld()) return;
  host.store.during_call = [this, index] { this->RunDuringStoreCall(index); };
  host.service.LoadIfNeeded();
  this->CallServers(index);
  host.service.CommitChanges();
  host.store.during_call = nullptr;
}

auto OwnershipSimulation::CallServers(int index) -> void {
  auto& host = *this->hosts[index];
  if (!host.lease.IsHeld()) return;
  std::vector<EligibleServer> eligible;
  for (const auto& server : this->servers) {
    if (!server.is_registered) continue;
    eligible.push_back({server.registered, 1});
  }
  this->UpdateConnections(host);
  const auto commands = host.service.TakeDueCommands(eligible);
  for (const auto& command : commands) this->Send(index, command);
}

auto OwnershipSimulation::RunDuringStoreCall(int index) -> void {
  if (!this->RandomBool(kInterleavingProbability)) return;
  this->DeliverCalls();
  this->CheckHolders();
  this->clock.Advance(kStep);
  this->CallServers(index);
}

auto OwnershipSimulation::UpdateConnections(Host& host) -> void {
  for (int i = 0; i < kServers; ++i) {
    const auto& server = this->servers[i];
    auto& connections = host.connections[i];
    // The end of a process is not noticed while its server does not respond.
    if (server.is_unresponsive) continue;
    const auto has_ended = [&server](const Connection& connection) {
      return !server.is_up || connection.server_started != server.owner.started;
    };
    connections.erase(
        std::remove_if(connections.begin(), connections.end(), has_ended),
        connections.end());
    if (!connections.empty() && this->RandomBool(kCloseProbability)) {
      connections.pop_front();
    }
    if (server.is_up && this->RandomBool(kOpenProbability)) {
      host.Open(i, server.owner.started);
    }
  }
}

auto OwnershipSimulation::ChooseConnection(Host& host, const Server& server,
                                           const KeyCommand& command)
    -> std::optional<Connection> {
  const auto index = &server - this->servers.data();
  for (const auto& connection : host.connections[index]) {
    const bool is_permitted =
        !command.max_connection || connection.number <= *command.max_connection;
    if (is_permitted) return connection;
  }
  if (command.max_connection || !server.is_up || server.is_unresponsive) {
    return std::nullopt;
  }
  return host.Open(static_cast<int>(index), server.owner.started);
}

auto OwnershipSimulation::Send(int host, KeyCommand command) -> void {
  auto& sender = *this->hosts[host];
  auto& scheduler = sender.service.Scheduler();
  const auto* server = this->ServerOf(command.owner);
  const bool is_grant = command.kind == KeyCommand::Kind::kGrant;
  if (is_grant && !scheduler.PermitGrant(command)) {
    scheduler.OnNotSent(command);
    return;
  }
  const bool has_grant_in_flight = std::any_of(
      this->calls.begin(), this->calls.end(), [&](const Call& call) {
        return call.host == host && call.command.owner == command.owner &&
               call.command.kind == KeyCommand::Kind::kGrant;
      });
  if (is_grant && !command.max_connection && has_grant_in_flight) {
    scheduler.OnNotSent(command);
    return;
  }
  const auto connection = this->ChooseConnection(sender, *server, command);
  if (!connection) {
    scheduler.OnOwnerUnreachable(command.owner);
    scheduler.OnNotSent(command);
    return;
  }
  Call call;
  call.host = host;
  call.incarnation = sender.incarnation;
  call.command = command;
  call.newest_connection = sender.newest_connection;
  call.server_started = connection->server_started;
  call.arrives_at =
      this->clock.Now() + (this->RandomBool(0.2) ? kCallTimeout : kStep);
  call.executed_at = call.arrives_at;
  if (this->are_calls_delayed && this->RandomBool(0.5)) {
    call.executed_at += std::chrono::milliseconds(2000 + this->random() % 8000);
    call.has_response = false;
  }
  this->calls.push_back(call);
}

auto OwnershipSimulation::ServerOf(const KeyOwner& owner) -> Server* {
  for (auto& server : this->servers) {
    // A call reaches the process that listens at the address, even if the owner
    // was an earlier process.
    if (server.owner.port == owner.port) return &server;
  }
  return nullptr;
}

auto OwnershipSimulation::DeliverCalls() -> void {
  const auto now = this->clock.Now();
  std::deque<Call> due;
  std::deque<Call> pending;
  for (auto& call : this->calls) {
    (call.executed_at <= now ? due : pending).push_back(call);
  }
  // Calls without a response time out at the sender.
  for (auto& call : pending) {
    const bool has_timed_out = !call.has_response && call.arrives_at <= now;
    if (!has_timed_out || call.host < 0) continue;
    this->Reply(call, GrantReply::kNoResponse, {});
    call.host = -1;
  }
  this->calls = std::move(pending);
  for (const auto& call : due) {
    auto* server = this->ServerOf(call.command.owner);
    // A call in flight is lost when the server restarts.
    const bool is_reached = server->is_up && !server->is_unresponsive &&
                            server->owner.started == call.server_started;
    if (is_reached) {
      this->Execute(call, *server);
    } else if (call.has_response) {
      this->Reply(call, GrantReply::kNoResponse, {});
    }
  }
}

auto OwnershipSimulation::Execute(const Call& call, Server& server) -> void {
  auto& server_grant = server.grants[call.command.stripe];
  if (call.command.kind == KeyCommand::Kind::kRelease) {
    server_grant.highest_token =
        std::max(server_grant.highest_token, call.command.token);
    server_grant.expires_at = TimePoint{};
    if (call.has_response) {
      this->Reply(call, GrantReply::kNoResponse, {true, false, "hand-over"});
    }
    return;
  }
  if (call.command.token < server_grant.highest_token) {
    if (call.has_response) this->Reply(call, GrantReply::kStaleToken, {});
    return;
  }
  const auto length = static_cast<double>(call.command.ttl.count());
  const auto expires_at =
      call.arrives_at +
      Duration(static_cast<std::int64_t>(length * kClockDriftFactor));
  server_grant.highest_token = call.command.token;
  server_grant.expires_at = std::max(server_grant.expires_at, expires_at);
  if (expires_at > this->clock.Now()) {
    // Each process of a server counts as another owner.
    auto& last = this->last_accepted[call.command.stripe];
    const bool is_other_process = !(last.first == server.owner);
    if (is_other_process && call.command.token <= last.second) {
      this->violation = "step " + std::to_string(this->step) +
                        ": a new owner's token is not above the last owner's";
    }
    last = {server.owner, call.command.token};
  }
  if (call.has_response) this->Reply(call, GrantReply::kAccepted, {});
}

auto OwnershipSimulation::Reply(const Call& call, GrantReply grant,
                                const ReleaseReply& release) -> void {
  if (call.host < 0) return;
  auto& host = *this->hosts[call.host];
  if (host.incarnation != call.incarnation || host.is_frozen) {
    // A frozen host has missed the response and sees the call's timeout when it
    // continues.
    if (host.incarnation == call.incarnation) {
      host.service.Scheduler().OnNotSent(call.command);
    }
    return;
  }
  if (call.command.kind == KeyCommand::Kind::kGrant) {
    host.service.Scheduler().OnGrantReply(call.command,
                                          {grant, call.newest_connection});
  } else {
    host.service.Scheduler().OnReleaseReply(call.command, release);
  }
}

auto OwnershipSimulation::CheckHolders() -> void {
  for (int stripe = 0; stripe < kStripes; ++stripe) {
    int holders = 0;
    for (const auto& server : this->servers) {
      const bool holds = server.grants[stripe].expires_at > this->clock.Now();
      if (server.is_up && holds) ++holders;
    }
    if (holders > 1 && this->violation.empty()) {
      this->violation = "step " + std::to_string(this->step) + ": stripe " +
                        std::to_string(stripe) + " has two holders";
    }
  }
}

}  // namespace currantbeam
