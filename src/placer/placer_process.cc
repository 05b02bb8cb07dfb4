#include "placer/placer_process.h"

#include <ctime>
#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kPollInterval = std::chrono::milliseconds(500);
constexpr auto kAckInterval = std::chrono::milliseconds(100);
constexpr auto kFlushInterval = std::chrono::milliseconds(1000);
constexpr auto kDocumentInterval = std::chrono::milliseconds(50);
constexpr const char* kConfigDocument = GatewayAgent::kConfigDocument;

auto RandomSession() -> std::uint64_t {
  std::random_device device;
  return ((static_cast<std::uint64_t>(device()) << 32) | device()) >> 11;
}

auto WallClock() -> std::string {
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
      gateways(
          loop,
          [this](const nlohmann::json& message) { this->OnReport(message); }),
      placers(loop,
              [this](const nlohmann::json& message) {
                this->OnPlacerAck(message);
              }),
      peers(loop, [this](const nlohmann::json& message) {
        return this->OnPlacerMessage(message);
      }) {}

auto PlacerProcess::Start() -> void {
  this->peers.Listen(this->settings.address, this->settings.placer_port);
  this->loop.Spawn([this] { this->TickLoop(); });
  this->loop.Spawn([this] { this->PollLoop(); });
  this->loop.Spawn([this] { this->AcknowledgeLoop(); });
  this->loop.Spawn([this] { this->FlushLoop(); });
}

auto PlacerProcess::Stop() -> void {
  this->stopped = true;
  this->account_store.Flush();
  this->gateways.Stop();
  this->placers.Stop();
  this->peers.Stop();
}

auto PlacerProcess::NotePlatform(bool reachable) -> void {
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
  this->SendBeats();
  while (auto request = this->placer.TakeTableRequest()) {
    this->loop.Spawn(
        [this, request = *request] { this->RunTableRequest(request); });
  }
  this->LogDecisions();
}

auto PlacerProcess::SendBeats() -> void {
  std::map<HostId, Endpoint> controls;
  auto beats = this->placer.TakeHeartbeats();
  if (beats.empty()) return;
  for (const auto& host : this->hosts.entry_hosts) {
    controls[host.id] = host.control;
  }
  for (const auto& [host, beat] : beats) {
    const auto& control = controls[host];
    if (control.port == 0) continue;
    this->gateways.Send(control.address, control.port, beat);
  }
}

auto PlacerProcess::SendDocuments() -> void {
  if (!this->placer.IsReady() || this->clock.Now() < this->next_documents) {
    return;
  }
  this->next_documents = this->clock.Now() + kDocumentInterval;
  const auto& documents = this->placer.Documents();
  const auto& domain = this->settings.domain.Value();
  for (const auto& host : this->hosts.entry_hosts) {
    if (host.id == this->settings.host) continue;
    const auto& peer = this->peer_placers[host.id];
    if (peer.acked >= documents.Cursor()) continue;
    std::vector<Document> news;
    for (auto& document : documents.ChangedSince(peer.acked)) {
      const bool is_own =
          document.name == "drivers/" + domain ||
          document.name == "term/" + domain ||
          document.name.rfind("segment/" + domain + "/", 0) == 0;
      if (is_own || document.name == kConfigDocument) {
        news.push_back(std::move(document));
      }
    }
    this->placers.Send(host.placer.address, host.placer.port,
                       {{"t", "documents"},
                        {"s", this->session},
                        {"u", documents.Cursor()},
                        {"d", news}});
  }
}

auto PlacerProcess::OnPlacerMessage(const nlohmann::json& message)
    -> std::optional<nlohmann::json> {
  for (const auto& document : message.at("d").get<std::vector<Document>>()) {
    this->placer.Publish(document);
  }
  this->AdoptConfigDocument();
  return nlohmann::json{{"t", "ack"},
                        {"h", this->settings.host},
                        {"o", this->session},
                        {"s", message.at("s")},
                        {"u", message.at("u")}};
}

auto PlacerProcess::OnPlacerAck(const nlohmann::json& message) -> void {
  if (message.at("s").get<std::uint64_t>() != this->session) return;
  auto& peer = this->peer_placers[message.at("h").get<HostId>()];
  const auto run = message.at("o").get<std::uint64_t>();
  if (peer.session != run) peer.acked = 0;
  peer.session = run;
  peer.acked = std::max(peer.acked, message.at("u").get<std::uint64_t>());
}

auto PlacerProcess::RunTableRequest(const TableRequest& request) -> void {
  const bool is_read = request.kind == TableRequest::Kind::kReadTerm ||
                       request.kind == TableRequest::Kind::kReadSegments;
  if (is_read) {
    std::optional<std::vector<TableRow>> rows;
    try {
      rows = this->platform.ReadRows(request.prefix);
    } catch (const PlatformError&) {
      // Told to the placer as no rows.
    }
    this->NotePlatform(rows.has_value());
    this->placer.OnTableRead(request, rows);
  } else {
    const auto outcome = this->platform.Commit(request.transaction);
    this->NotePlatform(outcome != CommitOutcome::kUnknown);
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
    this->notes[{decision.service, decision.slot}] = {WallClock(),
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
  const auto now_role = this->placer.GetElection().GetRole();
  if (now_role == this->role) return;
  this->role = now_role;
  const auto term = this->placer.GetElection().GetTerm();
  Log(events::kPlacerRole, {{"role", RoleName(now_role)},
                            {"term", std::to_string(term.number) + "." +
                                         std::to_string(term.offline)}});
}

auto PlacerProcess::TickLoop() -> void {
  while (!this->stopped) {
    this->Advance();
    this->SendDocuments();
    SleepFor(kTick);
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
  PlacerConfiguration placing;
  placing.version = configuration.version;
  placing.leaving = configuration.leaving;
  placing.lost = configuration.lost;
  for (const auto& service : configuration.services) {
    placing.services.push_back(
        {service.name,
         configuration.SlotsHomedIn(service, this->settings.domain)});
  }
  this->placer.SetConfiguration(placing);
  Log(events::kConfigStored,
      {{"version", configuration.version}, {"author", configuration.author}});
}

auto PlacerProcess::AdoptConfigDocument() -> void {
  const auto* document = this->placer.Documents().Find(kConfigDocument);
  if (document == nullptr) return;
  const auto known = this->configuration ? this->configuration->version : 0;
  if (document->stamp.sequence > known) {
    this->SetConfiguration(document->body.get<Configuration>());
  }
}

auto PlacerProcess::SinceOf(const ServiceName& service, SlotIndex slot) const
    -> std::string {
  const auto found = this->notes.find({service, slot});
  return found == this->notes.end() ? "" : found->second.at;
}

auto PlacerProcess::ReasonOf(const ServiceName& service, SlotIndex slot) const
    -> std::string {
  const auto found = this->notes.find({service, slot});
  return found == this->notes.end() ? "" : found->second.reason;
}

auto PlacerProcess::RefreshConfiguration() -> void {
  const auto stored = this->config_store.Read();
  if (stored.has_value()) this->SetConfiguration(*stored);
}

auto PlacerProcess::PollHosts() -> void {
  auto listed = this->platform.ReadHosts();
  const nlohmann::json now = listed;
  const nlohmann::json before = this->hosts;
  if (now == before) return;
  this->hosts = std::move(listed);
  this->placer.SetHosts(this->hosts);
}

auto PlacerProcess::PollLoop() -> void {
  while (!this->stopped) {
    try {
      this->PollHosts();
      this->RefreshConfiguration();
      this->NotePlatform(true);
    } catch (const PlatformError&) {
      this->NotePlatform(false);
      this->AdoptConfigDocument();
    }
    SleepFor(kPollInterval);
  }
}

auto PlacerProcess::AcknowledgeLoop() -> void {
  while (!this->stopped) {
    SleepFor(kAckInterval);
    const auto in_force = this->placer.ConfigVersionInForce();
    if (in_force <= this->acknowledged || !this->platform_reachable) continue;
    try {
      if (this->config_store.Acknowledge(this->settings.domain, in_force)) {
        this->acknowledged = in_force;
        Log(events::kConfigInForce, {{"version", in_force}});
      }
    } catch (const PlatformError&) {
      this->NotePlatform(false);
    }
  }
}

auto PlacerProcess::FlushLoop() -> void {
  while (!this->stopped) {
    SleepFor(kFlushInterval);
    if (!this->placer.IsReady()) continue;
    const auto rows = this->account_store.Flush();
    if (rows != 0) Log(events::kAccountFlushed, {{"rows", rows}});
  }
}

}  // namespace currantbeam
