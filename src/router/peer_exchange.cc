#include "router/peer_exchange.h"

#include <algorithm>
#include <optional>

#include "core/events.h"
#include "router/peer_reads.h"

namespace currantbeam {
namespace {

constexpr auto kReportInterval = std::chrono::milliseconds(500);
constexpr auto kRequestTimeout = std::chrono::milliseconds(400);
/// No updates are sent to a host that has not reported for this long.
constexpr auto kPeerReportTimeout = std::chrono::seconds(3);
/// If the coordinator has accepted no report for this long, it counts as
/// unreachable and the owners are read from the store.
constexpr auto kContactTimeout = std::chrono::milliseconds(1500);
constexpr auto kCoordinatorPollInterval = std::chrono::milliseconds(10);
constexpr auto kReadPollInterval = std::chrono::milliseconds(20);
/// No trial is started with less time than this left for its request.
constexpr auto kMinTrialTime = std::chrono::milliseconds(20);
/// Responses may hold whole tables, of up to this size.
constexpr std::uint64_t kMaxTablesBytes = 32 * 1024 * 1024;
/// The number of other hosts that a reply names.
constexpr std::size_t kHostsPerReply = 4;
constexpr const char* kReportPath = "/loads";
constexpr const char* kUpdatePath = "/owners";
constexpr const char* kOwnersPath = "/owners-since";
constexpr const char* kTrialPath = "/trials";

/// @return the coordinator's endpoint; nothing if it is unknown or invalid.
auto ReportEndpoint(const KeyCoordinator& coordinator)
    -> std::optional<Endpoint> {
  try {
    return ParseEndpoint(coordinator.ReportEndpoint());
  } catch (const InputError&) {
    return std::nullopt;
  }
}

auto ServerOptions(const Endpoint& endpoint) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  return options;
}

/// For responses that may hold rows.
const FetchTimeout kRowsTimeout{kRequestTimeout, kStallTimeout};

auto Post(const Endpoint& endpoint, const char* path, std::string body,
          FetchTimeout timeout = kRequestTimeout,
          std::uint64_t max_bytes = kDefaultMaxResponseBytes) -> HttpResponse {
  HttpRequest request{http::verb::post, path, 11};
  request.body() = std::move(body);
  return Fetch(endpoint.address, endpoint.port, std::move(request), timeout,
               max_bytes);
}

}  // namespace

PeerExchange::PeerExchange(const RouterSettings& settings, const Clock& clock,
                           LoadRecorder& loads, OwnerDirectory& owners,
                           FleetSize& fleet, RequestQuarantine& quarantine,
                           RelayedStore& store, TableReadServer& table_reads,
                           KnownHosts& hosts, Duration first_contact_timeout)
    : settings(settings),
      clock(clock),
      loads(loads),
      owners(owners),
      fleet(fleet),
      quarantine(quarantine),
      store(store),
      table_reads(table_reads),
      hosts(hosts),
      first_contact_timeout(first_contact_timeout),
      server(ServerOptions(settings.peers), *this) {}

auto PeerExchange::Start(FiberLoop& loop, KeyCoordinator& coordinator) -> void {
  this->coordinator = &coordinator;
  this->server.Listen(loop);
  loop.Spawn([this] { this->RunReportLoop(); });
  loop.Spawn([this] { this->RunReadLoop(); });
}

auto PeerExchange::RunReportLoop() -> void {
  this->AwaitCoordinator();
  while (true) {
    TryStep("report", [this] { this->Report(); });
    SleepFor(kReportInterval);
  }
}

auto PeerExchange::AwaitCoordinator() -> void {
  const auto deadline = this->clock.Now() + kReportInterval;
  while (this->coordinator->ReportEndpoint().empty() &&
         this->clock.Now() < deadline) {
    SleepFor(kCoordinatorPollInterval);
  }
}

auto PeerExchange::Report() -> void {
  auto report = this->loads.TakeReport(this->settings.host,
                                       FormatEndpoint(this->settings.peers),
                                       this->clock.Now());
  const bool is_coordinator = this->coordinator->IsActive();
  this->store.SetLeader(is_coordinator);
  if (is_coordinator) {
    this->coordinator->OnReport(report);
    this->ApplyReportReply(this->MakeReportReply(report), this->clock.Now(),
                           report.endpoint);
    this->last_contact_at = this->clock.Now();
  } else {
    report.tables = this->store.Versions();
    report.accepts_announcements = true;
    report.quarantine = this->quarantine.State(this->clock.Now());
    const bool is_accepted = this->SendReport(report);
    this->coordinator->OnCoordinatorContact(is_accepted);
    if (is_accepted) this->last_contact_at = this->clock.Now();
  }
  const auto since_contact = this->clock.Now() - this->last_contact_at;
  if (since_contact > kContactTimeout) this->owners.RequestRead();
}

auto PeerExchange::SendReport(const LoadReport& report) -> bool {
  const auto endpoint = ReportEndpoint(*this->coordinator);
  if (!endpoint) return false;
  const auto sent_at = this->clock.Now();
  try {
    const auto response = Post(*endpoint, kReportPath, report.Encode(),
                               kRowsTimeout, kMaxTablesBytes);
    if (response.result() != http::status::ok) return false;
    this->ApplyReportReply(LoadReportReply::Decode(response.body()), sent_at,
                           FormatEndpoint(*endpoint));
    return true;
  } catch (const RequestError& error) {
    Log(events::kReportLost,
        {{"keeper", FormatEndpoint(*endpoint)},
         {"took_us", (this->clock.Now() - sent_at).count()},
         {"error", error.what()}});
  } catch (const InputError& error) {
    Log(events::kBadPeerMessage, {{"error", error.what()}});
  }
  return false;
}

auto PeerExchange::MakeReportReply(const LoadReport& report)
    -> LoadReportReply {
  const auto others = std::count_if(
      this->peers.begin(), this->peers.end(), [this](const auto& peer) {
        return this->HasReportedRecently(peer.second);
      });
  // Hosts of an older version don't know announcements.
  auto tables = report.accepts_announcements
                    ? this->store.SmallUpdatesSince(report.tables)
                    : TableUpdates{this->store.UpdatesSince(report.tables), {}};
  return {static_cast<int>(others) + 1,
          this->coordinator->Versions(),
          std::move(tables.updates),
          this->quarantine.State(this->clock.Now()),
          this->hosts.Choose(kHostsPerReply),
          std::move(tables.announcements)};
}

auto PeerExchange::ApplyReportReply(LoadReportReply reply, TimePoint sent_at,
                                    const std::string& sender) -> void {
  this->fleet.Update(reply.host_count, this->clock.Now());
  for (const auto& [service, version] : reply.owner_versions) {
    this->owners.OnCoordinatorVersion(service, version);
  }
  for (const auto& host : reply.hosts) this->hosts.Add(host);
  this->store.OnUpdates(std::move(reply.table_updates), sent_at);
  this->store.OnAnnouncements(reply.announcements, sender);
  this->quarantine.Merge(reply.quarantine, this->clock.Now());
}

auto PeerExchange::HasReportedRecently(const Peer& peer) const -> bool {
  return this->clock.Now() - peer.last_report_at <= kPeerReportTimeout;
}

auto PeerExchange::AwaitFirstContact() -> void {
  const auto deadline = this->clock.Now() + this->first_contact_timeout;
  while (this->last_contact_at == TimePoint{} && this->clock.Now() < deadline) {
    SleepFor(kReadPollInterval);
  }
}

auto PeerExchange::RunReadLoop() -> void {
  this->AwaitFirstContact();
  while (true) {
    TryStep("read-owners", [this] {
      if (this->owners.StartReadIfDue()) this->ReadOwners();
    });
    SleepFor(kReadPollInterval);
  }
}

auto PeerExchange::ReadOwners() -> void {
  if (this->ReadOwnersFromCoordinator()) return;
  try {
    this->ApplyOwners(this->store.Read(kOwnersTable, "").rows);
  } catch (const StoreError& error) {
    Log(events::kOwnersUnread, {{"error", error.what()}});
    this->owners.RequestRead();
  }
}

auto PeerExchange::ReadOwnersFromCoordinator() -> bool {
  const auto known_versions = this->owners.Versions();
  if (this->coordinator->IsActive()) {
    this->ApplyOwners(this->coordinator->OwnersSince(known_versions).rows);
    return true;
  }
  const auto since_contact = this->clock.Now() - this->last_contact_at;
  const auto endpoint = ReportEndpoint(*this->coordinator);
  if (since_contact > kContactTimeout || !endpoint) return false;
  try {
    const auto response =
        Post(*endpoint, kOwnersPath, EncodeVersions(known_versions),
             kRowsTimeout, kMaxTablesBytes);
    if (response.result() != http::status::ok) return false;
    this->ApplyOwners(TableUpdate::Decode(response.body()).rows);
    return true;
  } catch (const Error& error) {
    Log(events::kOwnersUnread,
        {{"keeper", FormatEndpoint(*endpoint)}, {"error", error.what()}});
  }
  return false;
}

auto PeerExchange::ApplyOwners(const std::vector<StoreRow>& rows) -> void {
  for (const auto& row : rows) this->owners.OnRow(row);
}

auto PeerExchange::Publish(const OwnerUpdate& update) -> void {
  this->owners.OnUpdate(update);
  const auto body = update.Encode();
  for (const auto& [host, peer] : this->peers) {
    if (!this->HasReportedRecently(peer)) continue;
    FiberLoop::Current().Spawn([this, endpoint = peer.endpoint, body] {
      this->SendUpdate(endpoint, body);
    });
  }
}

auto PeerExchange::SendUpdate(const Endpoint& endpoint, const std::string& body)
    -> void {
  try {
    Post(endpoint, kUpdatePath, body);
  } catch (const RequestError& error) {
    // The reply to the peer's next report carries the newer version, and the
    // peer then reads the owners.
    Log(events::kUpdateLost,
        {{"peer", FormatEndpoint(endpoint)}, {"error", error.what()}});
  }
}

auto PeerExchange::IsInContact() const -> bool {
  return this->clock.Now() - this->last_contact_at <= kContactTimeout;
}

auto PeerExchange::Acquire(RequestFingerprint request, Duration length)
    -> bool {
  if (!this->coordinator->IsActive()) {
    const auto deadline = this->clock.Now() + length;
    const auto granted = this->SendTrial(
        {request, false, length, this->quarantine.State(this->clock.Now())},
        std::chrono::ceil<std::chrono::milliseconds>(length));
    if (granted) return *granted;
    if (deadline - this->clock.Now() < kMinTrialTime) return false;
  }
  return this->permits.Acquire(request, length, this->clock.Now());
}

auto PeerExchange::Release(RequestFingerprint request) -> void {
  this->permits.Release(request);
  if (this->coordinator->IsActive()) return;
  TrialMessage message{request, true, Duration(0),
                       this->quarantine.State(this->clock.Now())};
  FiberLoop::Current().Spawn([this, message = std::move(message)] {
    this->SendTrial(message, kRequestTimeout);
  });
}

auto PeerExchange::SendTrial(const TrialMessage& message,
                             std::chrono::milliseconds timeout)
    -> std::optional<bool> {
  const auto endpoint = ReportEndpoint(*this->coordinator);
  if (!this->IsInContact() || !endpoint) return std::nullopt;
  try {
    const auto response = Post(*endpoint, kTrialPath, message.Encode(),
                               std::min(timeout, kRequestTimeout));
    const bool is_granted = response.result() == http::status::ok;
    if (!is_granted && response.result() != http::status::conflict) {
      return std::nullopt;
    }
    this->quarantine.Merge(QuarantineState::Decode(response.body()),
                           this->clock.Now());
    return is_granted;
  } catch (const Error& error) {
    Log(events::kReportLost, {{"keeper", FormatEndpoint(*endpoint)},
                              {"path", kTrialPath},
                              {"error", error.what()}});
  }
  return std::nullopt;
}

auto PeerExchange::HandleTrial(HttpExchange& exchange) -> void {
  if (!this->coordinator->IsActive()) {
    exchange.Send(HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  const auto message = TrialMessage::Decode(exchange.Request().body());
  const auto now = this->clock.Now();
  this->quarantine.Merge(message.quarantine, now);
  bool is_granted = true;
  if (message.is_release) {
    this->permits.Release(message.request);
  } else {
    is_granted = this->permits.Acquire(message.request, message.length, now);
  }
  HttpResponse response{is_granted ? http::status::ok : http::status::conflict,
                        11};
  response.body() = this->quarantine.State(now).Encode();
  exchange.Send(std::move(response));
}

auto PeerExchange::Handle(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  try {
    if (request.target() == kReportPath) {
      this->HandleReport(exchange);
      return;
    }
    if (request.target() == kTrialPath) {
      this->HandleTrial(exchange);
      return;
    }
    if (request.target() == kOwnersPath) {
      this->HandleOwnersRequest(exchange);
      return;
    }
    if (request.target() == kStoreReadPath) {
      RespondToStoreRead(exchange, this->table_reads);
      return;
    }
    if (request.target() == kUpdatePath) {
      this->owners.OnUpdate(OwnerUpdate::Decode(request.body()));
      exchange.Send(HttpResponse{http::status::ok, 11});
      return;
    }
    exchange.Send(HttpResponse{http::status::not_found, 11});
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    exchange.Send(HttpResponse{http::status::bad_request, 11});
  }
}

auto PeerExchange::HandleReport(HttpExchange& exchange) -> void {
  if (!this->coordinator->IsActive()) {
    exchange.Send(HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  const auto report = LoadReport::Decode(exchange.Request().body());
  const auto endpoint = ParseEndpoint(report.endpoint);
  this->peers[report.host] = {endpoint, this->clock.Now()};
  this->hosts.Add(report.endpoint);
  this->coordinator->OnReport(report);
  this->quarantine.Merge(report.quarantine, this->clock.Now());
  HttpResponse response{http::status::ok, 11};
  response.body() = this->MakeReportReply(report).Encode();
  exchange.Send(std::move(response));
}

auto PeerExchange::HandleOwnersRequest(HttpExchange& exchange) -> void {
  if (!this->coordinator->IsActive()) {
    exchange.Send(HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  const auto known_versions = DecodeVersions(exchange.Request().body());
  HttpResponse response{http::status::ok, 11};
  response.body() = this->coordinator->OwnersSince(known_versions).Encode();
  exchange.Send(std::move(response));
}

auto PeerExchange::OnBadInput(const std::string& what) -> void {
  Log(events::kBadPeerMessage, {{"what", what}});
}

}  // namespace currantbeam
