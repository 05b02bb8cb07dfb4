#pragma once

#include <algorithm>

#include "fiber_test.h"
#include "router/fleet_schema.h"
#include "router/fleet_simulation.h"

/// @file
/// The hosts of a FleetSimulation; included by it alone.

namespace currantbeam {

/// A host's connection to the store.
class FleetSimulation::Link : public StoreClient {
 public:
  Link(FleetSimulation& fleet, SimulatedLink& network)
      : fleet(fleet), network(network) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override {
    this->Begin(kReadTimeout);
    auto batch = this->fleet.memory.Read(table, partition);
    this->End(kReadTimeout);
    std::size_t bytes = 0;
    for (const auto& row : batch.rows) bytes += StoreRowBytes(row.value);
    this->Receive(bytes);
    return batch;
  }
  auto Follow(const std::string& table, StoreVersion after, milliseconds wait)
      -> RowBatch override {
    const auto timeout = wait + kFollowTimeoutMargin;
    this->Begin(timeout);
    auto& clock = this->fleet.clock;
    const auto deadline = clock.Now() + wait;
    auto batch = this->fleet.memory.Follow(table, after, wait);
    while (batch.rows.empty() && clock.Now() < deadline) {
      this->fleet.has_changed.WaitFor(deadline - clock.Now());
      batch = this->fleet.memory.Follow(table, after, wait);
    }
    this->End(timeout);
    this->Receive(this->fleet.FeedBytes(table, after));
    return batch;
  }
  [[nodiscard]] auto IsReceiving() const -> bool override {
    return this->arriving_responses != 0;
  }
  auto Write(const StoreWrite& write) -> WriteResult override {
    try {
      this->Begin(kWriteTimeout);
      auto result = this->fleet.memory.Write(write);
      this->fleet.has_changed.Notify();
      this->End(kWriteTimeout);
      return result;
    } catch (const StoreError&) {
      return {};
    }
  }

  StoreAccess access = StoreAccess::kServed;
  bool loses_next = false;

 private:
  auto Begin(Duration timeout) -> void {
    ++this->fleet.store_calls;
    SleepFor(kMessageTime);
    this->FailIfCut(timeout);
    if (!this->loses_next) return;
    this->loses_next = false;
    SleepFor(timeout);
    throw StoreError("lost");
  }
  auto End(Duration timeout) -> void {
    SleepFor(kMessageTime);
    this->FailIfCut(timeout);
    const bool is_lost =
        this->access == StoreAccess::kLossy && this->fleet.random() % 10 == 0;
    if (!is_lost) return;
    SleepFor(timeout);
    throw StoreError("lost");
  }
  auto Receive(std::size_t bytes) -> void {
    ++this->arriving_responses;
    const bool is_complete = Transfer(this->fleet.clock, this->fleet.store_link,
                                      this->network, bytes);
    --this->arriving_responses;
    if (!is_complete) throw ResponseCutShort("cut short");
  }
  auto FailIfCut(Duration timeout) const -> void {
    if (this->access == StoreAccess::kRejected) throw StoreError("rejected");
    if (this->access == StoreAccess::kHung) SleepFor(kEndless);
    if (this->access != StoreAccess::kSilent) return;
    SleepFor(timeout);
    throw StoreError("silent");
  }

  FleetSimulation& fleet;
  SimulatedLink& network;
  int arriving_responses = 0;
};

/// Carries a host's reads to other hosts.
class FleetSimulation::Mail : public PeerLink {
 public:
  Mail(FleetSimulation& fleet, SimulatedLink& network)
      : fleet(fleet), network(network) {}

  auto Send(const std::string& endpoint, const StoreReadRequest& request,
            milliseconds timeout) -> RowBatch override;

  bool is_isolated = false;

 private:
  FleetSimulation& fleet;
  SimulatedLink& network;
};

class FleetSimulation::Host {
 public:
  Host(FleetSimulation& fleet, int index, double link_mbps)
      : fleet(fleet),
        index(index),
        network(fleet.clock, link_mbps),
        link(fleet, this->network),
        endpoint("host:" + std::to_string(index)),
        mail(fleet, this->network) {}

  auto Start() -> void {
    auto& loop = FiberLoop::Current();
    this->coordinator.Start();
    loop.Spawn([this] { this->RunReports(); });
    loop.Spawn([this] { this->RunTasks(); });
    loop.Spawn([this] { this->RunFollower(kBackends, this->backends); });
    loop.Spawn([this] { this->RunFollower(kRoutes, this->routes); });
  }

  /// Sends a request to each server that this host may send one to.
  auto RunRequests() -> void {
    SleepFor(Duration(this->fleet.random() % 100'000));
    while (true) {
      std::vector<BackendTargetPtr> targets;
      for (const auto& [id, target] : this->directory.All()) {
        targets.push_back(target);
      }
      const auto is_not_sent = [this](const BackendTargetPtr& target) {
        return !this->MaySend(target);
      };
      targets.erase(std::remove_if(targets.begin(), targets.end(), is_not_sent),
                    targets.end());
      SleepFor(this->fleet.send_wait);
      for (const auto& target : targets) {
        if (!this->serving.IsKnownToServe(*target)) continue;
        this->fleet.OnSend(this->index, target->entry.id.Value());
      }
      SleepFor(kRequestInterval);
    }
  }

  FleetSimulation& fleet;
  int index;
  bool is_stopped = false;
  bool is_isolated = false;
  SimulatedLink network;
  Link link;
  std::string endpoint;
  Mail mail;
  KnownHosts hosts{this->fleet.clock, this->endpoint,
                   static_cast<unsigned>(this->index)};
  CircuitBreakerStore own_store{this->link, this->fleet.clock};
  CallJoiningStore joined_store{this->own_store, this->fleet.clock};
  PeerReader peer_reader{this->mail, this->hosts, this->fleet.clock};
  PeerBackedStore backed_store{this->joined_store, this->peer_reader,
                               this->fleet.clock};
  CopyFetcher fetcher{this->mail, this->fleet.clock, this->endpoint,
                      static_cast<unsigned>(this->index)};
  RelayedStore store{this->backed_store,
                     this->fleet.clock,
                     {kRoutes, kBackends},
                     std::chrono::seconds(1),
                     &this->fetcher};
  TableReadServer reads{this->store, this->joined_store,
                        this->network.Bandwidth() == 0
                            ? kUnlimitedMbps
                            : this->network.Bandwidth(),
                        static_cast<unsigned>(this->index)};
  BackendDirectory directory{this->fleet.clock};
  FleetSchema schema;
  NoServers servers;
  KeyCoordinator coordinator{
      this->backed_store, this->servers,
      this->fleet.clock,  this->directory,
      this->Options(),    [](const OwnerUpdate& /*update*/) {}};

 private:
  /// Asks servers by a message.
  class HealthClient : public ServerHealthClient {
   public:
    explicit HealthClient(const FleetSimulation& fleet) : fleet(fleet) {}
    auto Serves(const BackendEntry& server, milliseconds /*timeout*/)
        -> bool override {
      SleepFor(kMessageTime);
      const bool serves = this->fleet.SaysItServes(server.id.Value());
      SleepFor(kMessageTime);
      return serves;
    }

   private:
    const FleetSimulation& fleet;
  };

  auto MaySend(const BackendTargetPtr& target) -> bool {
    return this->serving.Confirm(target, kHealthTime);
  }
  auto Options() -> KeyCoordinator::Options {
    KeyCoordinator::Options options;
    options.lease.holder = this->endpoint;
    options.lease.endpoint = this->endpoint;
    return options;
  }

  /// Does what PeerExchange does for the tables, twice a second.
  auto RunReports() -> void {
    SleepFor(Duration(this->fleet.random() % 500'000));
    while (true) {
      this->Report();
      SleepFor(kReportInterval);
    }
  }
  auto Report() -> void {
    const bool is_active = this->coordinator.IsActive();
    this->store.SetLeader(is_active);
    if (is_active) return;
    const auto sent_at = this->fleet.clock.Now();
    const bool is_accepted = this->SendReport(sent_at);
    this->coordinator.OnCoordinatorContact(is_accepted);
  }
  auto SendReport(TimePoint sent_at) -> bool {
    auto* other = this->fleet.FindHost(this->coordinator.ReportEndpoint());
    if (other == nullptr || other == this) return false;
    SleepFor(kMessageTime);
    if (other->is_isolated || this->is_isolated) {
      SleepFor(kReportTimeout);
      return false;
    }
    if (!other->coordinator.IsActive()) return false;
    other->hosts.Add(this->endpoint);
    auto tables = other->store.SmallUpdatesSince(this->store.Versions());
    const auto named = other->hosts.Choose(kHostsPerReply);
    std::size_t bytes = 0;
    for (const auto& update : tables.updates) bytes += update.Encode().size();
    if (!Transfer(this->fleet.clock, other->network, this->network, bytes)) {
      return false;
    }
    SleepFor(kMessageTime);
    for (const auto& host : named) this->hosts.Add(host);
    this->store.OnUpdates(std::move(tables.updates), sent_at);
    this->store.OnAnnouncements(tables.announcements, other->endpoint);
    return true;
  }
  auto RunTasks() -> void {
    SleepFor(Duration(this->fleet.random() % 200'000));
    while (true) {
      SleepFor(kTaskInterval);
      this->backends_listener.ApplyTimeouts();
      this->ReportUse();
    }
  }
  auto RunFollower(const std::string& table, TableListener& listener) -> void {
    FollowOptions options;
    options.table = table;
    if (table == kBackends) {
      options.batch_delay =
          std::chrono::duration_cast<milliseconds>(kBatchDelay);
    }
    TableFollower follower(this->store, options, listener);
    while (true) SleepFor(follower.Step());
  }
  /// Reports the backend servers and whether they drain, as this host uses
  /// them.
  auto ReportUse() -> void {
    if (this->is_stopped) return;
    std::map<std::string, std::string> states;
    for (const auto& [id, target] : this->directory.All()) {
      states[id.Value()] = target->entry.is_draining ? "draining" : "ready";
    }
    for (const auto& [key, state] : states) {
      if (this->last_states[key] != state) {
        this->fleet.OnUse(this->index, kBackends, key, state);
      }
    }
    for (const auto& [key, state] : this->last_states) {
      if (!state.empty() && states.count(key) == 0) {
        this->fleet.OnUse(this->index, kBackends, key, "");
      }
    }
    this->last_states = states;
  }

  /// Reports what is used after each batch of rows.
  class ReportingListener : public TableListener {
   public:
    ReportingListener(Host& host, TableListener& listener)
        : host(host), listener(listener) {}
    auto OnRow(const StoreRow& row) -> void override {
      this->listener.OnRow(row);
      this->host.ReportUse();
    }
    auto OnRemoved(const std::string& key) -> void override {
      this->listener.OnRemoved(key);
      this->host.ReportUse();
    }
    auto OnSynced() -> void override { this->listener.OnSynced(); }
    auto OnReachable(bool reachable) -> void override {
      this->listener.OnReachable(reachable);
    }
    auto OnRollback() -> void override { this->listener.OnRollback(); }

   private:
    Host& host;
    TableListener& listener;
  };

  HealthClient health{this->fleet};
  ServingCheck serving{this->fleet.clock, this->directory, this->health,
                       [this] { return this->store.Status(kBackends); },
                       kDrainBound};
  std::map<std::string, std::string> last_states;
  BackendsListener backends_listener{
      this->schema, this->directory,
      [this] { return this->own_store.UnreachableAt(); },
      [this] { return this->store.StoreUpSince(); }};
  RoutesListener routes_listener{
      this->schema, [this](const RouteConfig& config) {
        if (this->is_stopped) return;
        this->fleet.OnUse(this->index, kRoutes, "config",
                          std::to_string(config.version));
      }};
  ReportingListener backends{*this, this->backends_listener};
  ReportingListener routes{*this, this->routes_listener};
};

inline auto FleetSimulation::Mail::Send(const std::string& endpoint,
                                        const StoreReadRequest& request,
                                        milliseconds timeout) -> RowBatch {
  auto& clock = this->fleet.clock;
  const auto deadline = clock.Now() + timeout;
  auto* host = this->fleet.FindHost(endpoint);
  SleepFor(kMessageTime);
  if (host == nullptr || host->is_isolated || this->is_isolated) {
    SleepFor(deadline - clock.Now());
    throw StoreError("no response");
  }
  // The response begins before the deadline, and takes as long as its size.
  ReadRace response;
  auto has_begun = std::make_shared<bool>(false);
  auto busy = std::make_shared<std::optional<CopyBusy>>();
  response.Start([this, host, request, has_begun, busy] {
    RowBatch batch;
    bool is_complete = false;
    const auto receive = [&](const TableUpdate& update) {
      *has_begun = true;
      const auto encoded = update.Encode();
      is_complete = Transfer(this->fleet.clock, host->network, this->network,
                             encoded.size());
      batch = ToBatch(this->fleet.Decode(update, encoded));
    };
    try {
      host->reads.Serve(request, receive);
    } catch (const CopyBusy& error) {
      busy->emplace(error);
      throw;
    }
    if (!is_complete) throw StoreError("cut short");
    return batch;
  });
  response.WaitFor(clock, deadline - clock.Now());
  if (*has_begun) response.Wait();
  SleepFor(kMessageTime);
  if (*busy) throw CopyBusy(**busy);
  if (!response.IsOver()) throw StoreError("no response in time");
  return response.Take();
}

}  // namespace currantbeam
