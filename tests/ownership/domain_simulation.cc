#include "ownership/domain_simulation.h"

#include <algorithm>
#include <sstream>

namespace currantbeam {
namespace {

const FailureDomain kDomain("d");
const ServiceName kService("s");

}  // namespace

struct DomainSimulation::Host {
  Host(const ManualClock& true_time, double rate, Duration offset)
      : clock(true_time, rate, offset) {}
  DriftingClock clock;
  HostId id;
  std::uint64_t placer_runs = 0;
  std::uint64_t gateway_runs = 0;
  std::unique_ptr<Placer> placer;
  std::unique_ptr<GatewayAgent> gateway;
};

struct DomainSimulation::Server {
  Server(const ManualClock& true_time, double rate, Duration offset)
      : clock(true_time, rate, offset) {}
  DriftingClock clock;
  std::uint64_t runs = 0;
  std::unique_ptr<GrantHolder> holder;
};

DomainSimulation::DomainSimulation(const Options& options)
    : options(options), random(options.seed) {
  std::uniform_real_distribution<double> random_rate(0.99, 1.01);
  std::uniform_int_distribution<int> random_offset(0, 1'000'000'000);
  for (int i = 0; i < options.hosts; ++i) {
    const Duration offset(random_offset(this->random));
    const auto rate = random_rate(this->random);
    auto host = std::make_unique<Host>(this->true_time, rate, offset);
    host->id = HostId("h" + std::to_string(i));
    this->hosts.push_back(std::move(host));
  }
  for (int i = 0; i < options.servers; ++i) {
    const Duration offset(random_offset(this->random));
    const auto rate = random_rate(this->random);
    this->servers.push_back(
        std::make_unique<Server>(this->true_time, rate, offset));
  }
  std::vector<Fault> starts;
  for (int i = 0; i < options.hosts; ++i) {
    starts.push_back({Fault::Kind::kRestartGateway, i, 0, 0, 0});
    starts.push_back({Fault::Kind::kRestartPlacer, i, 0, 0, 0});
  }
  for (int i = 0; i < options.servers; ++i) {
    starts.push_back({Fault::Kind::kRestartServer, i, 0, 0, 0});
  }
  this->ApplyRestarts(starts);
}

DomainSimulation::~DomainSimulation() = default;

auto DomainSimulation::ServerName(int server) const -> ServerId {
  return ServerId("b" + std::to_string(server));
}

auto DomainSimulation::ApplyRestarts(const std::vector<Fault>& faults) -> void {
  for (const auto& fault : faults) {
    if (fault.start != this->step) continue;
    if (fault.kind == Fault::Kind::kRestartPlacer) {
      auto& host = *this->hosts[fault.a % this->options.hosts];
      ++host.placer_runs;
      host.placer = std::make_unique<Placer>(host.id, kDomain,
                                             host.placer_runs * 100 + fault.a,
                                             this->options.placer, host.clock);
    }
    if (fault.kind == Fault::Kind::kRestartGateway) {
      auto& host = *this->hosts[fault.a % this->options.hosts];
      ++host.gateway_runs;
      host.gateway =
          std::make_unique<GatewayAgent>(host.id, kDomain, host.gateway_runs,
                                         this->options.gateway, host.clock);
    }
    if (fault.kind == Fault::Kind::kRestartServer) {
      auto& server = *this->servers[fault.a % this->options.servers];
      ++server.runs;
      server.holder = std::make_unique<GrantHolder>(server.clock, server.runs);
    }
  }
  this->UpdateHosts();
}

auto DomainSimulation::UpdateHosts() -> void {
  HostList list;
  for (const auto& host : this->hosts) {
    EntryHost entry;
    entry.id = host->id;
    entry.domain = kDomain;
    list.entry_hosts.push_back(entry);
  }
  for (int i = 0; i < this->options.servers; ++i) {
    BackendServer server;
    server.id = this->ServerName(i);
    server.service = kService;
    server.domain = kDomain;
    server.slots = 4;
    server.leaving = this->leaving.count(server.id) != 0;
    list.servers.push_back(server);
  }
  PlacerConfiguration configuration;
  configuration.version = 1;
  ServiceSlots service;
  service.service = kService;
  for (SlotIndex slot = 0; slot < this->options.slots; ++slot) {
    service.slots.push_back(slot);
  }
  configuration.services.push_back(service);
  for (const auto& host : this->hosts) {
    if (!host->placer) continue;
    host->placer->SetHosts(list);
    host->placer->SetConfiguration(configuration);
  }
}

auto DomainSimulation::HasFault(Fault::Kind kind, int a, int b) const -> bool {
  const bool by_server =
      kind == Fault::Kind::kPauseServer || kind == Fault::Kind::kServerLeaving;
  const auto count = by_server ? this->options.servers : this->options.hosts;
  return std::any_of(this->active.begin(), this->active.end(),
                     [&](const Fault& fault) {
                       if (fault.kind != kind || this->step < fault.start ||
                           this->step >= fault.start + fault.length) {
                         return false;
                       }
                       if (a >= 0 && fault.a % count != a) return false;
                       const auto other = kind == Fault::Kind::kPartitionHosts
                                              ? this->options.hosts
                                              : this->options.servers;
                       return b < 0 || fault.b % other == b;
                     });
}

auto DomainSimulation::Send(bool is_partitioned,
                            const std::function<bool()>& deliver) -> void {
  if (is_partitioned) return;
  const bool bad = this->HasFault(Fault::Kind::kUnreliableNetwork, -1);
  std::uniform_int_distribution<int> percent(0, 99);
  const int loss = bad ? 25 : this->options.base_loss_percent;
  const int max_delay = bad ? 30 : 1;
  std::uniform_int_distribution<int> delay(0, max_delay);
  const int copies = percent(this->random) < (bad ? 20 : 2) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (percent(this->random) < loss) continue;
    this->messages.push_back(
        {this->step + 1 + delay(this->random), this->message_order++, deliver});
  }
}

auto DomainSimulation::Deliver() -> void {
  std::vector<Message> due;
  std::vector<Message> later;
  for (auto& message : this->messages) {
    (message.due <= this->step ? due : later).push_back(std::move(message));
  }
  this->messages = std::move(later);
  std::sort(due.begin(), due.end(), [](const Message& a, const Message& b) {
    return std::tie(a.due, a.order) < std::tie(b.due, b.order);
  });
  for (auto& message : due) {
    // Messages to a paused receiver are delivered when it resumes.
    if (!message.deliver()) this->messages.push_back(std::move(message));
  }
}

auto DomainSimulation::SendTableRequest(int host, const TableRequest& request)
    -> void {
  const auto runs = this->hosts[host]->placer_runs;
  const auto is_partitioned = [this, host] {
    return this->HasFault(Fault::Kind::kPlatformDown, -1) ||
           this->HasFault(Fault::Kind::kPartitionHostFromPlatform, host);
  };
  const auto answer = [this, host, runs](
                          const std::function<void(Placer&)>& apply, int wait) {
    this->messages.push_back(
        {this->step + wait, this->message_order++, [this, host, runs, apply] {
           if (this->HasFault(Fault::Kind::kPausePlacer, host)) return false;
           if (this->hosts[host]->placer_runs == runs) {
             apply(*this->hosts[host]->placer);
           }
           return true;
         }});
  };
  constexpr int kTimeoutSteps = 20;
  const bool is_read = request.kind == TableRequest::Kind::kReadTerm ||
                       request.kind == TableRequest::Kind::kReadSegments;
  const bool loses = this->HasFault(Fault::Kind::kPlatformLosesResponses, -1);
  if (is_read) {
    if (is_partitioned()) {
      answer([request](Placer& p) { p.OnTableRead(request, std::nullopt); },
             kTimeoutSteps);
      return;
    }
    const auto rows = this->platform.ReadRows(request.prefix);
    answer([request, rows](Placer& p) { p.OnTableRead(request, rows); }, 1);
    return;
  }
  if (is_partitioned()) {
    answer(
        [request](Placer& p) {
          p.OnTableCommit(request, CommitOutcome::kUnknown);
        },
        kTimeoutSteps);
    return;
  }
  std::uniform_int_distribution<int> delay(0, loses ? 40 : 1);
  // The write is applied with a delay, possibly after the sender's timeout.
  const auto effect = delay(this->random);
  this->messages.push_back(
      {this->step + 1 + effect, this->message_order++,
       [this, request, answer, loses] {
         const auto outcome = this->platform.Commit(request.transaction);
         if (loses) return true;
         answer([request,
                 outcome](Placer& p) { p.OnTableCommit(request, outcome); },
                1);
         return true;
       }});
  if (loses) {
    answer(
        [request](Placer& p) {
          p.OnTableCommit(request, CommitOutcome::kUnknown);
        },
        kTimeoutSteps);
  }
}

auto DomainSimulation::RunPlacer(int index) -> void {
  if (this->HasFault(Fault::Kind::kPausePlacer, index)) return;
  auto& host = *this->hosts[index];
  host.placer->Tick();
  while (auto request = host.placer->TakeTableRequest()) {
    this->SendTableRequest(index, *request);
  }
  host.placer->TakeDecisions();
  for (const auto& [to, heartbeat] : host.placer->TakeHeartbeats()) {
    const int other = std::stoi(to.Value().substr(1));
    const auto is_partitioned = [this, index, other] {
      return this->HasFault(Fault::Kind::kPartitionHosts, index, other) ||
             this->HasFault(Fault::Kind::kPartitionHosts, other, index);
    };
    const auto runs = host.placer_runs;
    this->Send(is_partitioned(), [this, index, other, heartbeat = heartbeat,
                                  is_partitioned, runs] {
      if (this->HasFault(Fault::Kind::kPauseGateway, other)) return false;
      const auto report = this->hosts[other]->gateway->OnHeartbeat(heartbeat);
      this->Send(is_partitioned(), [this, index, report, runs] {
        if (this->HasFault(Fault::Kind::kPausePlacer, index)) return false;
        if (this->hosts[index]->placer_runs == runs) {
          this->hosts[index]->placer->OnReport(report);
        }
        return true;
      });
      return true;
    });
  }
}

auto DomainSimulation::RunGateway(int index) -> void {
  if (this->HasFault(Fault::Kind::kPauseGateway, index)) return;
  auto& host = *this->hosts[index];
  for (const auto& attempt : host.gateway->DrivenServers().DueGrants()) {
    const int to = std::stoi(attempt.server.Value().substr(1));
    const auto runs = host.gateway_runs;
    const bool is_partitioned =
        this->HasFault(Fault::Kind::kPartitionHostFromServer, index, to);
    const auto confirm = [this, index, runs,
                          attempt](std::optional<GrantAnswer> answer) {
      auto& there = *this->hosts[index];
      if (there.gateway_runs != runs) return;
      if (answer) {
        there.gateway->DrivenServers().Confirm(attempt, *answer);
      } else {
        there.gateway->DrivenServers().Fail(attempt);
      }
    };
    this->Send(
        is_partitioned, [this, index, to, attempt, confirm, is_partitioned] {
          if (this->HasFault(Fault::Kind::kPauseServer, to)) return false;
          const auto answer = this->servers[to]->holder->Accept(attempt.grant);
          this->Send(is_partitioned, [this, index, answer, confirm] {
            if (this->HasFault(Fault::Kind::kPauseGateway, index)) return false;
            confirm(answer);
            return true;
          });
          return true;
        });
    // The client's timeout. An answer that arrives later is ignored.
    constexpr int kTimeoutSteps = 15;
    this->messages.push_back(
        {this->step + kTimeoutSteps, this->message_order++,
         [this, index, confirm] {
           if (this->HasFault(Fault::Kind::kPauseGateway, index)) {
             return false;
           }
           confirm(std::nullopt);
           return true;
         }});
  }
}

auto DomainSimulation::Step(const std::vector<Fault>& faults) -> void {
  this->active = faults;
  this->true_time.Advance(kStep);
  ++this->step;
  const auto before = this->leaving;
  this->leaving.clear();
  for (int i = 0; i < this->options.servers; ++i) {
    if (this->HasFault(Fault::Kind::kServerLeaving, i)) {
      this->leaving.insert(this->ServerName(i));
    }
  }
  if (before != this->leaving) this->UpdateHosts();
  this->ApplyRestarts(faults);
  this->Deliver();
  for (int i = 0; i < this->options.hosts; ++i) this->RunPlacer(i);
  for (int i = 0; i < this->options.hosts; ++i) this->RunGateway(i);
  this->Check();
}

auto DomainSimulation::Run(const std::vector<Fault>& faults, int steps)
    -> void {
  for (int i = 0; i < steps && this->violation.empty(); ++i) {
    this->Step(faults);
  }
}

auto DomainSimulation::Settle(int limit) -> int {
  for (int i = 0; i < limit && this->violation.empty(); ++i) {
    this->Step({});
    if (this->ServedSlots() == this->options.slots) return i;
  }
  return -1;
}

auto DomainSimulation::Fail(const std::string& what) -> void {
  if (this->violation.empty()) {
    this->violation = "step " + std::to_string(this->step) + ": " + what;
  }
}

auto DomainSimulation::Check() -> void {
  // At most one server accepts new work for a slot.
  for (SlotIndex slot = 0; slot < this->options.slots; ++slot) {
    std::string accepting;
    int count = 0;
    std::set<ServerId> dispatchable;
    for (int i = 0; i < this->options.servers; ++i) {
      if (this->HasFault(Fault::Kind::kPauseServer, i)) continue;
      if (this->servers[i]->holder->Holds(slot)) {
        ++count;
        accepting += " b" + std::to_string(i);
      }
    }
    if (count > 1) {
      this->Fail("slot " + std::to_string(slot) + " is accepted by" +
                 accepting);
    }
    // Servers that don't check tokens need more: gateways may send requests for
    // a slot to at most one server.
    for (int h = 0; h < this->options.hosts; ++h) {
      if (this->HasFault(Fault::Kind::kPauseGateway, h)) continue;
      for (int i = 0; i < this->options.servers; ++i) {
        const auto id = this->ServerName(i);
        if (this->hosts[h]->gateway->DrivenServers().DispatchToken(id, slot)) {
          dispatchable.insert(id);
        }
      }
    }
    if (dispatchable.size() > 1) {
      this->Fail("slot " + std::to_string(slot) +
                 " may be sent to two servers");
    }
  }
  // At most one placer is active.
  int placers = 0;
  for (int h = 0; h < this->options.hosts; ++h) {
    if (this->HasFault(Fault::Kind::kPausePlacer, h)) continue;
    if (this->hosts[h]->placer->IsReady()) ++placers;
  }
  if (placers > 1) this->Fail("two active placers");
  // The owner of an epoch never changes.
  const auto check_owner = [this](const Segment& segment) {
    for (const auto& [slot, assignment] : segment.slots) {
      if (assignment.owner.IsEmpty()) continue;
      const auto [it, inserted] = this->known_owners.emplace(
          std::make_pair(slot, assignment.epoch), assignment.owner);
      if (!inserted && it->second != assignment.owner) {
        this->Fail("epoch " + std::to_string(assignment.epoch) + " of slot " +
                   std::to_string(slot) + " has two owners");
      }
    }
  };
  for (const auto& row : this->platform.ReadRows("segment/")) {
    check_owner(row.value.get<Segment>());
  }
  for (const auto& host : this->hosts) {
    for (const auto* document :
         host->gateway->Documents().FindByPrefix("segment/")) {
      check_owner(document->body.get<Segment>());
    }
  }
}

auto DomainSimulation::PublishedDriver(int server) const -> HostId {
  DocumentVersion newest;
  HostId driver;
  for (const auto& host : this->hosts) {
    const auto* document = host->gateway->Documents().Find("drivers/d");
    if (document == nullptr || document->stamp < newest) continue;
    newest = document->stamp;
    for (const auto& row : document->body) {
      if (row.at("id").get<ServerId>() != this->ServerName(server)) continue;
      driver = row.at("gateway").get<HostId>();
    }
  }
  return driver;
}

auto DomainSimulation::ServedSlots() const -> std::size_t {
  std::size_t served = 0;
  for (SlotIndex slot = 0; slot < this->options.slots; ++slot) {
    bool is_served = false;
    for (int h = 0; h < this->options.hosts; ++h) {
      if (this->HasFault(Fault::Kind::kPauseGateway, h)) continue;
      const auto& host = this->hosts[h];
      for (int i = 0; i < this->options.servers; ++i) {
        if (this->HasFault(Fault::Kind::kPauseServer, i)) continue;
        const auto token = host->gateway->DrivenServers().DispatchToken(
            this->ServerName(i), slot);
        const bool accepted =
            token && this->servers[i]->holder->Allows(*token, slot);
        // Requests are routed to the driver that the placer has published.
        if (accepted && this->PublishedDriver(i) == host->id) {
          is_served = true;
        }
      }
    }
    if (is_served) ++served;
  }
  return served;
}

auto DomainSimulation::ActivePlacer() const -> int {
  for (int h = 0; h < this->options.hosts; ++h) {
    if (this->hosts[h]->placer->IsReady()) return h;
  }
  return -1;
}

auto DomainSimulation::DriverOf(int server) const -> int {
  for (int h = 0; h < this->options.hosts; ++h) {
    for (const auto& drive :
         this->hosts[h]->gateway->DrivenServers().Reports()) {
      if (drive.server == this->ServerName(server) && drive.healthy) return h;
    }
  }
  return -1;
}

auto DomainSimulation::SlotCount(int server) const -> std::size_t {
  std::size_t held = 0;
  for (SlotIndex slot = 0; slot < this->options.slots; ++slot) {
    if (this->servers[server]->holder->Holds(slot)) ++held;
  }
  return held;
}

auto DomainSimulation::Epochs() const -> std::map<SlotIndex, Epoch> {
  std::map<SlotIndex, Epoch> epochs;
  for (const auto& [key, owner] : this->known_owners) {
    epochs[key.first] = std::max(epochs[key.first], key.second);
  }
  return epochs;
}

auto Describe(const Fault& fault) -> std::string {
  static const std::vector<std::string> kNames = {
      "pause placer",      "pause gateway",           "pause server",
      "restart placer",    "restart gateway",         "restart server",
      "partition hosts",   "partition from platform", "partition from server",
      "platform down",     "platform responses lost", "server leaving",
      "unreliable network"};
  std::ostringstream text;
  text << kNames.at(static_cast<std::size_t>(fault.kind)) << "(" << fault.a
       << "," << fault.b << ")@" << fault.start << "+" << fault.length;
  return text.str();
}

}  // namespace currantbeam
