#include "ownership/placer.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr auto kTableRetryDelay = std::chrono::milliseconds(200);
constexpr auto kRebalanceInterval = std::chrono::milliseconds(2000);
/// Plans are also made with this period, as some conditions depend on time
/// alone (such as how long a server has been healthy).
constexpr auto kPlanInterval = std::chrono::milliseconds(100);
constexpr auto kConfigLease = std::chrono::milliseconds(3000);
constexpr double kLoadSmoothing = 0.2;
/// A placer that doesn't lead sends heartbeats only if it is among this many
/// first placers by host id.
constexpr int kMaxStandbys = 3;

}  // namespace

Placer::Placer(const HostId& self, const FailureDomain& domain,
               std::uint64_t session, const LeaseTiming& timing,
               const Clock& clock)
    : self(self),
      domain(domain),
      session(session),
      timing(timing),
      clock(clock),
      election(self, domain, timing, clock),
      drivers(timing, clock) {}

auto Placer::SetHosts(const HostList& hosts) -> void {
  this->hosts = hosts;
  this->servers.clear();
  for (const auto& server : hosts.servers) {
    if (server.domain != this->domain) continue;
    if (this->configuration.lost.count(server.id.Value()) != 0) continue;
    this->servers.emplace(server.id, server);
  }
  this->gateway_hosts.clear();
  std::set<HostId> remaining;
  for (const auto& host : hosts.entry_hosts) {
    if (host.domain != this->domain) continue;
    if (this->configuration.lost.count(host.id.Value()) != 0) continue;
    this->gateway_hosts.insert(host.id);
    if (!host.leaving &&
        this->configuration.leaving.count(host.id.Value()) == 0) {
      remaining.insert(host.id);
    }
    auto& gateway = this->gateways[host.id];
    if (gateway.added_at == TimePoint()) {
      gateway.added_at = this->clock.Now();
    }
  }
  const auto own = remaining.find(this->self);
  const auto rank =
      own == remaining.end()
          ? static_cast<int>(remaining.size())
          : static_cast<int>(std::distance(remaining.begin(), own));
  this->election.SetGateways(remaining, rank);
  this->drivers.SetGateways(this->gateway_hosts);
  this->drivers_changed = true;
  this->plan_now = true;
}

auto Placer::SetConfiguration(const PlacerConfiguration& configuration)
    -> void {
  this->configuration = configuration;
  this->SetHosts(this->hosts);
}

auto Placer::OnReport(const Report& report) -> void {
  auto& gateway = this->gateways[report.gateway];
  if (gateway.incarnation == report.incarnation &&
      report.clock < gateway.clock) {
    return;
  }
  if (gateway.incarnation != report.incarnation) gateway = GatewayState();
  gateway.incarnation = report.incarnation;
  gateway.clock = report.clock;
  gateway.cursor = report.session == this->session ? report.cursor : 0;
  gateway.config_version = report.config_version;
  gateway.last_report = this->clock.Now();
  for (const auto& document : report.documents) this->OnDocument(document);
  if (gateway.documents_requested_at != 0 &&
      report.echo >= gateway.documents_requested_at) {
    gateway.documents_received = true;
  }
  this->election.OnReport(report);
  const bool follows = report.followed_placer == this->self;
  if (this->active && follows &&
      this->drivers.OnReport(report, this->session)) {
    this->plan_now = true;
    this->drivers_changed = true;
  }
  for (const auto& load : report.loads) {
    const auto name = Segment{load.service, this->domain, {}, {}}.Name();
    const auto found = this->segments.find(name);
    if (found == this->segments.end()) continue;
    auto& average = found->second.loads[load.slot];
    average += kLoadSmoothing * (static_cast<double>(load.busy_us) - average);
  }
}

auto Placer::OnDocument(const Document& document) -> void {
  const auto own_term = this->election.RowKey();
  if (document.name == own_term) this->election.OnTermDocument(document);
  this->documents.Apply(document);
}

auto Placer::Publish(const Document& document) -> void {
  if (this->documents.Apply(document)) this->heartbeat_now = true;
}

auto Placer::Tick() -> void {
  this->election.Tick();
  const bool is_active = this->election.IsActive();
  if (is_active && !this->active) this->OnBecameActive();
  if (!is_active && this->active) this->OnBecameInactive();
  if (!this->active) return;
  if (!this->loaded) {
    this->FinishLoading();
    if (!this->loaded) return;
  }
  if (this->drivers.Update(this->servers)) {
    this->drivers_changed = true;
    this->heartbeat_now = true;
    this->plan_now = true;
  }
  if (this->plan_now || this->clock.Now() >= this->next_plan) {
    this->plan_now = false;
    this->next_plan = this->clock.Now() + kPlanInterval;
    this->CreateMissingSegments();
    for (auto& [name, state] : this->segments) this->Plan(state);
    this->proposals_due = true;
  }
  this->PublishChanges();
}

auto Placer::OnBecameActive() -> void {
  this->active = true;
  this->loaded = false;
  this->reload = false;
  this->segments.clear();
  this->pending.reset();
  this->drivers.Start(this->election.GetTerm(),
                      this->election.LeaderlessSince(), this->gateway_hosts);
  this->published_drivers = nullptr;
  for (auto& [host, gateway] : this->gateways) {
    gateway.documents_received = false;
    gateway.documents_requested_at = 0;
  }
  this->heartbeat_now = true;
}

auto Placer::OnBecameInactive() -> void {
  this->active = false;
  this->loaded = false;
  this->segments.clear();
  this->pending.reset();
}

auto Placer::FinishLoading() -> void {
  // In an offline term the table is unreachable, so the segments are loaded
  // from the documents of the gateways.
  if (this->election.GetTerm().offline != 0 && !this->drivers.IsAdopting()) {
    bool has_all = true;
    for (const auto& host : this->gateway_hosts) {
      if (!this->drivers.IsAlive(host)) continue;
      if (!this->gateways[host].documents_received) has_all = false;
    }
    this->loaded = has_all;
  }
  if (!this->loaded) return;
  for (const auto* document :
       this->documents.FindByPrefix(Segment::NamePrefix(this->domain))) {
    this->MergeSegment(document->body.get<Segment>(), 0);
  }
}

auto Placer::MergeSegment(const Segment& other, std::uint64_t row_version)
    -> void {
  auto& state = this->segments[other.Name()];
  state.segment.service = other.service;
  state.segment.domain = other.domain;
  if (row_version != 0) state.row_version = row_version;
  for (const auto& [index, incoming] : other.slots) {
    auto& current = state.segment.slots[index];
    if (incoming.epoch < current.epoch) state.dirty = true;
    if (incoming.epoch <= current.epoch && current.epoch != 0) continue;
    if (row_version == 0) state.dirty = true;
    const bool moving = current.moving;
    current = incoming;
    current.moving = moving;
  }
  if (state.segment.hot_keys.size() < other.hot_keys.size()) {
    state.segment.hot_keys = other.hot_keys;
  }
  state.changed = true;
}

auto Placer::CreateMissingSegments() -> void {
  for (const auto& service : this->configuration.services) {
    Segment segment;
    segment.service = service.service;
    segment.domain = this->domain;
    auto& state = this->segments[segment.Name()];
    if (state.segment.service.IsEmpty()) state.segment = segment;
    for (const auto index : service.slots) state.segment.slots[index];
  }
}

auto Placer::IsKnown(const ServerId& server) const -> bool {
  return this->servers.count(server) != 0;
}

auto Placer::IsUsable(const ServerId& server) const -> bool {
  const auto found = this->servers.find(server);
  if (found == this->servers.end() || found->second.leaving) return false;
  if (this->configuration.leaving.count(server.Value()) != 0) return false;
  return this->drivers.IsStable(server);
}

auto Placer::MakePlanner(const SegmentState& state) const -> PlacementPlanner {
  std::vector<ServerCapacity> usable;
  for (const auto& [id, server] : this->servers) {
    if (server.service != state.segment.service) continue;
    if (!this->IsUsable(id)) continue;
    usable.push_back({id, static_cast<double>(std::max(server.slots, 1))});
  }
  PlacementPlanner planner(usable, state.loads, {});
  planner.SetOwners(state.segment);
  return planner;
}

auto Placer::IsFree(const SegmentState& state, SlotIndex index) const -> bool {
  const auto& slot = state.segment.slots.at(index);
  if (slot.owner.IsEmpty()) return !this->drivers.IsAdopting();
  if (this->drivers.HasNoGrant(slot.owner)) {
    return this->drivers.IsLost(slot.owner) || !this->IsKnown(slot.owner) ||
           state.moves.count(index) != 0;
  }
  const auto move = state.moves.find(index);
  if (move == state.moves.end()) return false;
  const auto* driver = this->drivers.Find(slot.owner);
  return driver != nullptr && driver->acked_cursor >= move->second.cursor &&
         move->second.cursor != 0;
}

auto Placer::IsChangedByPending(const std::string& name, SlotIndex index,
                                const SlotAssignment& now) const -> bool {
  if (!this->pending.has_value()) return false;
  const auto proposal = this->pending->proposals.find(name);
  if (proposal == this->pending->proposals.end()) return false;
  const auto slot = proposal->second.slots.find(index);
  if (slot == proposal->second.slots.end()) return false;
  if (slot->second.epoch == now.epoch + 1) {
    return slot->second.owner != now.successor;
  }
  return slot->second.successor != now.successor;
}

auto Placer::ActivateSuccessors(SegmentState& state) -> void {
  for (auto& [index, slot] : state.segment.slots) {
    if (slot.owner.IsEmpty() || slot.successor.IsEmpty()) continue;
    if (slot.moving || state.freed.count(index) != 0) continue;
    if (!this->IsFree(state, index)) continue;
    if (!this->IsKnown(slot.successor)) continue;
    if (!this->drivers.IsHealthy(slot.successor)) continue;
    if (this->IsChangedByPending(state.segment.Name(), index, slot)) continue;
    this->decisions.push_back({state.segment.service, index, slot.owner,
                               slot.successor, slot.epoch + 1,
                               "owner-lost-successor"});
    slot.owner = slot.successor;
    ++slot.epoch;
    slot.successor = ServerId();
    state.dirty = true;
    state.changed = true;
  }
}

auto Placer::StartMove(SegmentState& state, SlotIndex index, const ServerId& to,
                       const std::string& reason) -> void {
  state.segment.slots.at(index).moving = true;
  state.moves[index] = {to, 0, reason};
  state.changed = true;
}

auto Placer::StartMoves(SegmentState& state, PlacementPlanner& planner)
    -> void {
  for (const auto& [index, slot] : state.segment.slots) {
    if (slot.owner.IsEmpty() || slot.moving) continue;
    if (this->drivers.IsLost(slot.owner)) continue;
    const auto known = this->servers.find(slot.owner);
    const bool leaving =
        known != this->servers.end() &&
        (known->second.leaving ||
         this->configuration.leaving.count(slot.owner.Value()) != 0);
    if (!leaving) continue;
    const auto to = planner.Place(index);
    if (to.IsEmpty()) break;
    this->StartMove(state, index, to, "server-leaving");
  }
  const bool is_idle = state.moves.empty() && state.freed.empty();
  if (!is_idle || this->clock.Now() < this->next_rebalance) return;
  for (const auto& move : planner.Rebalance(state.segment)) {
    if (!this->IsUsable(move.from)) continue;
    this->StartMove(state, move.slot, move.to, "rebalance");
  }
}

auto Placer::CollectFreed(SegmentState& state) -> void {
  for (auto& [index, slot] : state.segment.slots) {
    if (state.freed.count(index) != 0 || !this->IsFree(state, index)) continue;
    const auto move = state.moves.find(index);
    std::string reason = "owner-lost";
    if (slot.owner.IsEmpty()) reason = "first-placement";
    if (move != state.moves.end()) reason = move->second.reason;
    state.freed[index] = reason;
    if (!slot.moving) state.changed = true;
    slot.moving = true;
  }
}

auto Placer::KeepRecovered(SegmentState& state) -> void {
  const auto name = state.segment.Name();
  for (auto it = state.freed.begin(); it != state.freed.end();) {
    auto& slot = state.segment.slots.at(it->first);
    const bool may_keep =
        !slot.owner.IsEmpty() && state.moves.count(it->first) == 0 &&
        this->drivers.IsHealthy(slot.owner) && !this->pending.has_value();
    if (!may_keep) {
      ++it;
      continue;
    }
    slot.moving = false;
    state.changed = true;
    it = state.freed.erase(it);
  }
}

auto Placer::Plan(SegmentState& state) -> void {
  this->KeepRecovered(state);
  this->ActivateSuccessors(state);
  auto planner = this->MakePlanner(state);
  this->StartMoves(state, planner);
  this->CollectFreed(state);
}

auto Placer::Propose(SegmentState& state) -> std::optional<Segment> {
  auto planner = this->MakePlanner(state);
  auto proposal = state.segment;
  bool differs = state.dirty;
  for (const auto& [index, reason] : state.freed) {
    auto& slot = proposal.slots.at(index);
    const auto move = state.moves.find(index);
    ServerId to;
    if (move != state.moves.end() && this->IsUsable(move->second.to)) {
      to = move->second.to;
    } else {
      to = planner.Place(index);
    }
    if (to.IsEmpty()) continue;
    slot.owner = to;
    ++slot.epoch;
    slot.successor = ServerId();
    differs = true;
  }
  for (auto& [index, slot] : proposal.slots) {
    slot.moving = false;
    const bool is_valid = !slot.successor.IsEmpty() &&
                          slot.successor != slot.owner &&
                          this->IsUsable(slot.successor);
    if (is_valid || slot.owner.IsEmpty()) continue;
    const auto successor = planner.Successor(index, slot.owner);
    if (successor == slot.successor || successor.IsEmpty()) continue;
    slot.successor = successor;
    differs = true;
  }
  if (!differs) return std::nullopt;
  return proposal;
}

auto Placer::MakeCommit() -> std::optional<TableRequest> {
  if (this->pending.has_value()) {
    if (this->clock.Now() < this->next_retry) return std::nullopt;
    // The outcome is unknown: retry with the same operation id.
    return this->pending->request;
  }
  const auto fence = this->election.FenceVersion();
  if (!this->active || !this->loaded || this->reload || fence == 0) {
    return std::nullopt;
  }
  if (this->clock.Now() < this->next_retry) return std::nullopt;
  if (!this->proposals_due) return std::nullopt;
  this->proposals_due = false;
  PendingCommit next;
  next.request.kind = TableRequest::Kind::kCommitSegments;
  auto& transaction = next.request.transaction;
  transaction.checks.push_back({this->election.RowKey(), fence});
  for (auto& [name, state] : this->segments) {
    const auto proposal = this->Propose(state);
    if (!proposal.has_value()) continue;
    transaction.writes.push_back({name, state.row_version, *proposal});
    next.proposals.emplace(name, *proposal);
    state.dirty = false;
  }
  if (transaction.writes.empty()) return std::nullopt;
  transaction.operation_id = this->self.Value() + "/" +
                             std::to_string(this->session) + "/" +
                             std::to_string(++this->operation);
  this->pending = next;
  return next.request;
}

auto Placer::TakeTableRequest() -> std::optional<TableRequest> {
  if (this->request_outstanding) return std::nullopt;
  TableRequest request;
  const auto now = this->clock.Now();
  if (this->election.NeedsRead() && now >= this->next_retry) {
    request.kind = TableRequest::Kind::kReadTerm;
    request.prefix = this->election.RowKey();
    this->request_outstanding = true;
    return request;
  }
  if (auto commit = this->election.NextCommit()) {
    request.kind = TableRequest::Kind::kCommitTerm;
    request.transaction = *commit;
    this->request_outstanding = true;
    return request;
  }
  const bool needs_segments = this->active && (!this->loaded || this->reload) &&
                              this->election.GetTerm().offline == 0 &&
                              now >= this->next_retry;
  if (needs_segments) {
    request.kind = TableRequest::Kind::kReadSegments;
    request.prefix = Segment::NamePrefix(this->domain);
    this->request_outstanding = true;
    return request;
  }
  auto commit = this->MakeCommit();
  if (commit.has_value()) this->request_outstanding = true;
  return commit;
}

auto Placer::OnTableRead(const TableRequest& request,
                         const std::optional<std::vector<TableRow>>& rows)
    -> void {
  this->request_outstanding = false;
  if (request.kind == TableRequest::Kind::kReadTerm) {
    if (!rows.has_value()) {
      this->next_retry = this->clock.Now() + kTableRetryDelay;
      this->election.OnRead(std::nullopt);
      return;
    }
    TableRow row{request.prefix, 0, nullptr};
    for (const auto& found : *rows) {
      if (found.key == request.prefix) row = found;
    }
    this->election.OnRead(row);
    return;
  }
  if (!rows.has_value()) {
    this->next_retry = this->clock.Now() + kTableRetryDelay;
    return;
  }
  if (!this->active) return;
  for (const auto& row : *rows) {
    this->MergeSegment(row.value.get<Segment>(), row.version);
  }
  this->reload = false;
  if (this->loaded) return;
  this->loaded = true;
  this->FinishLoading();
}

auto Placer::ApplyCommitted(const std::string& name, const Segment& proposal)
    -> void {
  auto& state = this->segments.at(name);
  ++state.row_version;
  for (const auto& [index, proposed] : proposal.slots) {
    auto& slot = state.segment.slots[index];
    if (proposed.epoch < slot.epoch) continue;
    const bool moved = proposed.epoch > slot.epoch;
    if (!moved) {
      slot.successor = proposed.successor;
      continue;
    }
    this->decisions.push_back({state.segment.service, index, slot.owner,
                               proposed.owner, proposed.epoch,
                               state.freed[index]});
    slot = proposed;
    slot.moving = false;
    state.moves.erase(index);
    state.freed.erase(index);
  }
  state.changed = true;
}

auto Placer::OnTableCommit(const TableRequest& request, CommitOutcome outcome)
    -> void {
  this->request_outstanding = false;
  this->plan_now = true;
  if (request.kind == TableRequest::Kind::kCommitTerm) {
    this->election.OnCommit(outcome);
    this->heartbeat_now = true;
    if (outcome == CommitOutcome::kUnknown) {
      this->next_retry = this->clock.Now() + kTableRetryDelay;
    }
    return;
  }
  const bool is_current = this->pending.has_value() &&
                          this->pending->request.transaction.operation_id ==
                              request.transaction.operation_id;
  if (!is_current || !this->active) return;
  if (outcome == CommitOutcome::kUnknown) {
    this->pending->unknown = true;
    this->next_retry = this->clock.Now() + kTableRetryDelay;
    return;
  }
  const auto done = *this->pending;
  this->pending.reset();
  if (outcome == CommitOutcome::kCommitted) {
    for (const auto& [name, proposal] : done.proposals) {
      this->ApplyCommitted(name, proposal);
    }
    this->PublishChanges();
    return;
  }
  // Another placer wrote a row: read the rows again.
  for (const auto& [name, proposal] : done.proposals) {
    this->segments.at(name).dirty = true;
  }
  this->reload = true;
  this->election.OnWriteRejected();
}

auto Placer::PublishDocument(const std::string& name,
                             const nlohmann::json& body) -> void {
  Document document;
  document.name = name;
  document.stamp = {this->election.GetTerm(), ++this->sequence};
  document.body = body;
  this->documents.Apply(document);
  this->heartbeat_now = true;
}

auto Placer::PublishDrivers() -> void {
  auto rows = nlohmann::json::array();
  std::map<HostId, Endpoint> hops;
  for (const auto& host : this->hosts.entry_hosts) hops[host.id] = host.hop;
  for (const auto& [id, server] : this->servers) {
    const auto* driver = this->drivers.Find(id);
    nlohmann::json row = server;
    const auto gateway = driver == nullptr ? HostId() : driver->gateway;
    row["gateway"] = gateway;
    row["lost_gateway"] = this->drivers.LostGateway(id);
    row["hop"] = hops[gateway];
    rows.push_back(row);
  }
  if (rows == this->published_drivers) return;
  this->published_drivers = rows;
  this->PublishDocument("drivers/" + this->domain.Value(), rows);
}

auto Placer::PublishChanges() -> void {
  // The lease may have expired since Tick() began, if the process was paused.
  if (!this->election.IsActive()) return;
  if (auto record = this->election.TermDocument()) this->Publish(*record);
  // Until all drivers are adopted, the previous placer's list is more complete.
  if (this->drivers_changed && !this->drivers.IsAdopting()) {
    this->drivers_changed = false;
    this->PublishDrivers();
  }
  for (auto& [name, state] : this->segments) {
    if (!state.changed) continue;
    state.changed = false;
    this->PublishDocument(name, state.segment);
    for (auto& [index, move] : state.moves) {
      if (move.cursor == 0) move.cursor = this->documents.Cursor();
    }
  }
  if (this->clock.Now() >= this->next_rebalance) {
    this->next_rebalance = this->clock.Now() + kRebalanceInterval;
  }
}

auto Placer::MakeHeartbeat(const HostId& host) -> Heartbeat {
  auto& gateway = this->gateways[host];
  Heartbeat heartbeat;
  heartbeat.placer = this->self;
  heartbeat.session = this->session;
  heartbeat.incarnation = gateway.incarnation;
  heartbeat.term = this->election.GetTerm();
  heartbeat.leading = this->election.IsLeading();
  heartbeat.clock = ToMicros(this->clock.Now());
  heartbeat.echo = gateway.clock;
  // The assignments replace all servers that the gateway drives, so they are
  // sent only after those have been adopted from its report.
  heartbeat.active = this->active && this->loaded &&
                     this->drivers.HasReported(host) &&
                     this->election.IsActive();
  heartbeat.resync = !this->loaded && !gateway.documents_received;
  if (heartbeat.resync && gateway.documents_requested_at == 0) {
    gateway.documents_requested_at = heartbeat.clock;
  }
  if (!heartbeat.active) return heartbeat;
  heartbeat.cursor = this->documents.Cursor();
  heartbeat.documents = this->documents.ChangedSince(gateway.cursor);
  heartbeat.assignments = this->drivers.AssignmentsFor(host);
  return heartbeat;
}

auto Placer::TakeHeartbeats() -> std::vector<std::pair<HostId, Heartbeat>> {
  std::vector<std::pair<HostId, Heartbeat>> heartbeats;
  const auto now = this->clock.Now();
  if (now < this->next_heartbeat && !this->heartbeat_now) return heartbeats;
  this->next_heartbeat = now + this->timing.heartbeat_interval;
  this->heartbeat_now = false;
  const auto own = this->gateway_hosts.find(this->self);
  const auto rank = std::distance(this->gateway_hosts.begin(), own);
  if (!this->election.IsLeading() && rank >= kMaxStandbys) return heartbeats;
  for (const auto& host : this->gateway_hosts) {
    heartbeats.emplace_back(host, this->MakeHeartbeat(host));
  }
  return heartbeats;
}

auto Placer::TakeDecisions() -> std::vector<PlacementDecision> {
  return std::exchange(this->decisions, {});
}

auto Placer::IsReady() const -> bool {
  return this->active && this->loaded && this->election.IsActive();
}

auto Placer::ConfigVersionInForce() const -> std::uint64_t {
  if (!this->IsReady() || this->gateway_hosts.empty()) return 0;
  auto version = this->configuration.version;
  const auto now = this->clock.Now();
  const auto stops_serving = kConfigLease + this->timing.clock_drift_allowance;
  for (const auto& host : this->gateway_hosts) {
    const auto found = this->gateways.find(host);
    if (found == this->gateways.end()) return 0;
    const auto& gateway = found->second;
    const auto last_seen = std::max(gateway.last_report, gateway.added_at);
    // An unreachable gateway stops serving callers when its config lease ends.
    if (now - last_seen >= stops_serving) continue;
    version = std::min(version, gateway.config_version);
  }
  return version;
}

}  // namespace currantbeam
