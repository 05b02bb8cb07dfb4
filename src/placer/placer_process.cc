#include "placer/placer_process.h"

#include <ctime>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kPollInterval = std::chrono::milliseconds(500);
constexpr auto kAckInterval = std::chrono::milliseconds(100);
constexpr auto kFlushInterval = std::chrono::milliseconds(1000);
constexpr auto kDocumentInterval = std::chrono::milliseconds(50);
constexpr const char* kConfigDocument = GatewayAgent::kConfigDocument;

auto RandomSession() -> std::uint64_t {
  std::random_device device;
  return ((static_cast<std::uint64_t>(device()) << 32) | device()) >> 11;
}

auto WallClockTime() -> std::string {
  const auto now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

auto RoleName(Election::Role role) -> std::string {
  switch (role) {
    case Election::Role::kStandby:
      return "standby";
    case Election::Role::kCandidate:
      return "candidate";
    case Election::Role::kActive:
      return "active";
  }
  return "standby";
}

}  // namespace

PlacerProcess::PlacerProcess(FiberLoop& loop, const PlacerSettings& settings,
                             PlatformServices& platform,
                             const LeaseTiming& timing, const Clock& clock)
    : loop(loop),
      settings(settings),
      platform(platform),
      clock(clock),
      session(RandomSession()),
      placer(settings.host, settings.domain, this->session, timing, clock),
      config_store(platform,
                   settings.host.Value() + "/" + std::to_string(this->session)),
      account_store(
          platform, settings.domain,
          settings.host.Value() + "/" + std::to_string(this->session)),
      gateway_client(
          loop,
          [this](const nlohmann::json& message) { this->OnReport(message); }),
      placer_client(loop,
                    [this](const nlohmann::json& message) {
                      this->OnPlacerAck(message);
                    }),
      peer_server(loop, [this](const nlohmann::json& message) {
        return this->OnPlacerMessage(message);
      }) {}

auto PlacerProcess::Start() -> void {
  this->peer_server.Listen(this->settings.address, this->settings.placer_port);
  this->loop.Spawn([this] { this->TickLoop(); });
  this->loop.Spawn([this] { this->PollLoop(); });
  this->loop.Spawn([this] { this->AcknowledgeLoop(); });
  this->loop.Spawn([this] { this->FlushLoop(); });
}

auto PlacerProcess::Stop() -> void {
  this->stopped = true;
  this->account_store.Flush();
  this->gateway_client.Stop();
  this->placer_client.Stop();
  this->peer_server.Stop();
}

auto PlacerProcess::SetPlatformReachable(bool reachable) -> void {
  if (reachable == this->platform_reachable) return;
  this->platform_reachable = reachable;
  Log(reachable ? events::kPlatformBack : events::kPlatformLost);
}

auto PlacerProcess::OnReport(const nlohmann::json& message) -> void {
  const auto report = message.get<Report>();
  this->placer.OnReport(report);
  if (!report.account.is_null()) {
    this->account_store.Update(report.gateway, report.incarnation,
                               report.account.get<Account>());
  }
  this->Advance();
}

auto PlacerProcess::Advance() -> void {
  this->placer.Tick();
  this->SendHeartbeats();
  while (auto request = this->placer.TakeTableRequest()) {
    this->loop.Spawn(
        [this, request = *request] { this->RunTableRequest(request); });
  }
  this->LogDecisions();
}

auto PlacerProcess::SendHeartbeats() -> void {
  std::map<HostId, Endpoint> control_endpoints;
  auto heartbeats = this->placer.TakeHeartbeats();
  if (heartbeats.empty()) return;
  for (const auto& host : this->hosts.entry_hosts) {
    control_endpoints[host.id] = host.control;
  }
  for (const auto& [host, heartbeat] : heartbeats) {
    const auto& control = control_endpoints[host];
    if (control.port == 0) continue;
    this->gateway_client.Send(control.address, control.port, heartbeat);
  }
}

auto PlacerProcess::SendDocuments() -> void {
  if (!this->placer.IsReady() || this->clock.Now() < this->next_document_push) {
    return;
  }
  this->next_document_push = this->clock.Now() + kDocumentInterval;
  const auto& documents = this->placer.Documents();
  const auto& domain = this->settings.domain.Value();
  for (const auto& host : this->hosts.entry_hosts) {
    if (host.id == this->settings.host) continue;
    const auto& peer = this->peer_placers[host.id];
    if (peer.acked_cursor >= documents.Cursor()) continue;
    std::vector<Document> updates;
    for (auto& document : documents.ChangedSince(peer.acked_cursor)) {
      const bool is_own =
          document.name == "drivers/" + domain ||
          document.name == "term/" + domain ||
          document.name.rfind("segment/" + domain + "/", 0) == 0;
      if (is_own || document.name == kConfigDocument) {
        updates.push_back(std::move(document));
      }
    }
    this->placer_client.Send(host.placer.address, host.placer.port,
                             {{"t", "documents"},
                              {"s", this->session},
                              {"u", documents.Cursor()},
                              {"d", updates}});
  }
}

auto PlacerProcess::OnPlacerMessage(const nlohmann::json& message)
    -> std::optional<nlohmann::json> {
  for (const auto& document : message.at("d").get<std::vector<Document>>()) {
    this->placer.Publish(document);
  }
  this->ApplyConfigDocument();
  return nlohmann::json{{"t", "ack"},
                        {"h", this->settings.host},
                        {"o", this->session},
                        {"s", message.at("s")},
                        {"u", message.at("u")}};
}

auto PlacerProcess::OnPlacerAck(const nlohmann::json& message) -> void {
  if (message.at("s").get<std::uint64_t>() != this->session) return;
  auto& peer = this->peer_placers[message.at("h").get<HostId>()];
  const auto peer_session = message.at("o").get<std::uint64_t>();
  if (peer.session != peer_session) peer.acked_cursor = 0;
  peer.session = peer_session;
  peer.acked_cursor =
      std::max(peer.acked_cursor, message.at("u").get<std::uint64_t>());
}

auto PlacerProcess::RunTableRequest(const TableRequest& request) -> void {
  const bool is_read = request.kind == TableRequest::Kind::kReadTerm ||
                       request.kind == TableRequest::Kind::kReadSegments;
  if (is_read) {
    std::optional<std::vector<TableRow>> rows;
    try {
      rows = this->platform.ReadRows(request.prefix);
    } catch (const PlatformError&) {
      // The placer is passed no rows, which means that the read failed.
    }
    this->SetPlatformReachable(rows.has_value());
    this->placer.OnTableRead(request, rows);
  } else {
    const auto outcome = this->platform.Commit(request.transaction);
    this->SetPlatformReachable(outcome != CommitOutcome::kUnknown);
    const auto& operation = request.transaction.operation_id;
    if (outcome == CommitOutcome::kConflict) {
      Log(events::kCommitConflict, {{"operation", operation}});
    }
    if (outcome == CommitOutcome::kUnknown) {
      Log(events::kCommitUnknown, {{"operation", operation}});
    }
    this->placer.OnTableCommit(request, outcome);
  }
  this->Advance();
}

auto PlacerProcess::LogDecisions() -> void {
  for (const auto& decision : this->placer.TakeDecisions()) {
    this->assignments[{decision.service, decision.slot}] = {WallClockTime(),
                                                            decision.reason};
    Log(events::kSlotAssigned, {{"slot", decision.service.Value() + "/" +
                                             std::to_string(decision.slot)},
                                {"from", decision.from.Value()},
                                {"to", decision.to.Value()},
                                {"epoch", decision.epoch},
                                {"why", decision.reason}});
  }
  for (const auto& decision : this->placer.TakeDriverDecisions()) {
    Log(decision.lapsed ? events::kServerLapsed : events::kDriverOrdered,
        {{"server", decision.server.Value()},
         {"driver", decision.gateway.Value()},
         {"token", decision.token}});
  }
  const auto new_role = this->placer.GetElection().GetRole();
  if (new_role == this->role) return;
  this->role = new_role;
  const auto term = this->placer.GetElection().GetTerm();
  Log(events::kPlacerRole, {{"role", RoleName(new_role)},
                            {"term", std::to_string(term.number) + "." +
                                         std::to_string(term.offline)}});
}

auto PlacerProcess::TickLoop() -> void {
  while (!this->stopped) {
    TryStep("placer", [this] {
      this->Advance();
      this->SendDocuments();
    });
    SleepFor(kTickInterval);
  }
}

auto PlacerProcess::SetConfiguration(const Configuration& configuration)
    -> void {
  if (this->configuration &&
      this->configuration->version >= configuration.version) {
    return;
  }
  this->configuration = configuration;
  Document document;
  document.name = kConfigDocument;
  document.stamp.sequence = configuration.version;
  document.body = configuration;
  this->placer.Publish(document);
  PlacerConfiguration placer_configuration;
  placer_configuration.version = configuration.version;
  placer_configuration.leaving = configuration.leaving;
  placer_configuration.lost = configuration.lost;
  for (const auto& service : configuration.services) {
    placer_configuration.services.push_back(
        {service.name,
         configuration.SlotsHomedIn(service, this->settings.domain)});
  }
  this->placer.SetConfiguration(placer_configuration);
  Log(events::kConfigStored,
      {{"version", configuration.version}, {"author", configuration.author}});
}

auto PlacerProcess::ApplyConfigDocument() -> void {
  const auto* document = this->placer.Documents().Find(kConfigDocument);
  if (document == nullptr) return;
  const auto known = this->configuration ? this->configuration->version : 0;
  if (document->stamp.sequence > known) {
    this->SetConfiguration(document->body.get<Configuration>());
  }
}

auto PlacerProcess::AssignmentTime(const ServiceName& service,
                                   SlotIndex slot) const -> std::string {
  const auto found = this->assignments.find({service, slot});
  return found == this->assignments.end() ? "" : found->second.assigned_at;
}

auto PlacerProcess::AssignmentReason(const ServiceName& service,
                                     SlotIndex slot) const -> std::string {
  const auto found = this->assignments.find({service, slot});
  return found == this->assignments.end() ? "" : found->second.reason;
}

auto PlacerProcess::RefreshConfiguration() -> void {
  const auto stored = this->config_store.Read();
  if (stored.has_value()) this->SetConfiguration(*stored);
}

auto PlacerProcess::PollHosts() -> void {
  auto new_hosts = this->platform.ReadHosts();
  const nlohmann::json now = new_hosts;
  const nlohmann::json before = this->hosts;
  if (now == before) return;
  this->hosts = std::move(new_hosts);
  this->placer.SetHosts(this->hosts);
}

auto PlacerProcess::PollPlatform() -> void {
  try {
    this->PollHosts();
    this->RefreshConfiguration();
    this->SetPlatformReachable(true);
  } catch (const PlatformError&) {
    this->SetPlatformReachable(false);
    this->ApplyConfigDocument();
  }
}

auto PlacerProcess::PollLoop() -> void {
  while (!this->stopped) {
    TryStep("poll-platform", [this] { this->PollPlatform(); });
    SleepFor(kPollInterval);
  }
}

auto PlacerProcess::Acknowledge() -> void {
  const auto in_force = this->placer.ConfigVersionInForce();
  if (in_force <= this->acknowledged || !this->platform_reachable) return;
  try {
    if (this->config_store.Acknowledge(this->settings.domain, in_force)) {
      this->acknowledged = in_force;
      Log(events::kConfigInForce, {{"version", in_force}});
    }
  } catch (const PlatformError&) {
    this->SetPlatformReachable(false);
  }
}

auto PlacerProcess::AcknowledgeLoop() -> void {
  while (!this->stopped) {
    SleepFor(kAckInterval);
    TryStep("acknowledge", [this] { this->Acknowledge(); });
  }
}

auto PlacerProcess::FlushLoop() -> void {
  while (!this->stopped) {
    SleepFor(kFlushInterval);
    if (!this->placer.IsReady()) continue;
    TryStep("flush-accounts", [this] {
      const auto rows = this->account_store.Flush();
      if (rows != 0) Log(events::kAccountFlushed, {{"rows", rows}});
    });
  }
}

}  // namespace currantbeam
