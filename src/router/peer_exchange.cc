#include "router/peer_exchange.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kReportInterval = std::chrono::milliseconds(500);
constexpr auto kCallTimeout = std::chrono::milliseconds(400);
/// A host that has not reported for this long is not told of changes.
constexpr auto kPeerMemory = std::chrono::seconds(3);
/// Without contact to the keeper for this long, the store is read instead.
constexpr auto kKeeperMemory = std::chrono::milliseconds(1500);
constexpr auto kKeeperPoll = std::chrono::milliseconds(10);
constexpr auto kReadPoll = std::chrono::milliseconds(20);
constexpr const char* kReportPath = "/loads";
constexpr const char* kUpdatePath = "/owners";
constexpr const char* kOwnersPath = "/owners-since";

auto ToText(const Endpoint& endpoint) -> std::string {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

/// @return the endpoint; its port is 0 if the text names none.
auto FromText(const std::string& text) -> Endpoint {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return {};
  const auto port = std::strtol(text.c_str() + colon + 1, nullptr, 10);
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

auto ServerOptions(const Endpoint& endpoint) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  return options;
}

auto Post(const Endpoint& endpoint, const char* path, std::string body)
    -> HttpResponse {
  HttpRequest request{http::verb::post, path, 11};
  request.body() = std::move(body);
  return Fetch(endpoint.address, endpoint.port, std::move(request),
               kCallTimeout);
}

}  // namespace

PeerExchange::PeerExchange(const RouterSettings& settings, const Clock& clock,
                           LoadRecorder& loads, OwnerDirectory& owners,
                           FleetSize& fleet, RelayedStore& store)
    : settings(settings),
      clock(clock),
      loads(loads),
      owners(owners),
      fleet(fleet),
      store(store),
      server(ServerOptions(settings.peers), *this) {}

auto PeerExchange::Start(FiberLoop& loop, KeyKeeper& keeper) -> void {
  this->keeper = &keeper;
  this->server.Listen(loop);
  loop.Spawn([this] { this->RunReports(); });
  loop.Spawn([this] { this->RunReads(); });
}

auto PeerExchange::RunReports() -> void {
  this->AwaitKeeper();
  while (true) {
    this->Report();
    SleepFor(kReportInterval);
  }
}

auto PeerExchange::AwaitKeeper() -> void {
  const auto until = this->clock.Now() + kReportInterval;
  while (this->keeper->ReportEndpoint().empty() && this->clock.Now() < until) {
    SleepFor(kKeeperPoll);
  }
}

auto PeerExchange::Report() -> void {
  auto report = this->loads.Take(
      this->settings.host, ToText(this->settings.peers), this->clock.Now());
  const bool is_keeper = this->keeper->IsActive();
  this->store.SetLeading(is_keeper);
  if (is_keeper) {
    this->keeper->OnReport(report);
    this->ApplyAdvice(this->MakeAdvice(report), this->clock.Now());
    this->contact_at = this->clock.Now();
  } else {
    report.tables = this->store.Versions();
    const bool is_taken = this->SendReport(report);
    this->keeper->OnKeeperContact(is_taken);
    if (is_taken) this->contact_at = this->clock.Now();
  }
  const auto silent = this->clock.Now() - this->contact_at;
  if (silent > kKeeperMemory) this->owners.AskForRead();
}

auto PeerExchange::SendReport(const LoadReport& report) -> bool {
  const auto endpoint = FromText(this->keeper->ReportEndpoint());
  if (endpoint.port == 0) return false;
  const auto asked = this->clock.Now();
  try {
    const auto response = Post(endpoint, kReportPath, report.Encode());
    if (response.result() != http::status::ok) return false;
    this->ApplyAdvice(KeeperAdvice::Decode(response.body()), asked);
    return true;
  } catch (const RequestError& error) {
    Log(events::kReportLost,
        {{"keeper", ToText(endpoint)}, {"error", error.what()}});
  } catch (const InputError& error) {
    Log(events::kBadPeerMessage, {{"error", error.what()}});
  }
  return false;
}

auto PeerExchange::MakeAdvice(const LoadReport& report) -> KeeperAdvice {
  const auto others = std::count_if(
      this->peers.begin(), this->peers.end(),
      [this](const auto& peer) { return this->IsPresent(peer.second); });
  return {static_cast<int>(others) + 1, this->keeper->Versions(),
          this->store.NewsSince(report.tables)};
}

auto PeerExchange::ApplyAdvice(KeeperAdvice advice, TimePoint asked) -> void {
  this->fleet.OnTold(advice.hosts, this->clock.Now());
  for (const auto& [service, version] : advice.versions) {
    this->owners.OnKeeperVersion(service, version);
  }
  this->store.OnNews(std::move(advice.news), asked);
}

auto PeerExchange::IsPresent(const Peer& peer) const -> bool {
  return this->clock.Now() - peer.heard_at <= kPeerMemory;
}

auto PeerExchange::RunReads() -> void {
  while (true) {
    if (this->owners.TakeRead()) this->ReadOwners();
    SleepFor(kReadPoll);
  }
}

auto PeerExchange::ReadOwners() -> void {
  if (this->ReadOwnersAtKeeper()) return;
  try {
    this->TakeOwners(this->store.Read(kOwnersTable, "").rows);
  } catch (const StoreError& error) {
    Log(events::kOwnersUnread, {{"error", error.what()}});
    this->owners.AskForRead();
  }
}

auto PeerExchange::ReadOwnersAtKeeper() -> bool {
  const auto known = this->owners.Versions();
  if (this->keeper->IsActive()) {
    this->TakeOwners(this->keeper->OwnersSince(known).rows);
    return true;
  }
  const auto silent = this->clock.Now() - this->contact_at;
  const auto endpoint = FromText(this->keeper->ReportEndpoint());
  if (silent > kKeeperMemory || endpoint.port == 0) return false;
  try {
    const auto response = Post(endpoint, kOwnersPath, EncodeVersions(known));
    if (response.result() != http::status::ok) return false;
    this->TakeOwners(TableUpdate::Decode(response.body()).rows);
    return true;
  } catch (const Error& error) {
    Log(events::kOwnersUnread,
        {{"keeper", ToText(endpoint)}, {"error", error.what()}});
  }
  return false;
}

auto PeerExchange::TakeOwners(const std::vector<StoreRow>& rows) -> void {
  for (const auto& row : rows) this->owners.OnRow(row);
}

auto PeerExchange::Publish(const OwnerUpdate& update) -> void {
  this->owners.OnUpdate(update);
  const auto body = update.Encode();
  for (const auto& [host, peer] : this->peers) {
    if (!this->IsPresent(peer)) continue;
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
    // The answer to the host's next report tells it that it missed something.
    Log(events::kUpdateLost,
        {{"peer", ToText(endpoint)}, {"error", error.what()}});
  }
}

auto PeerExchange::Handle(HttpExchange& exchange) -> void {
  const auto& request = exchange.Request();
  try {
    if (request.target() == kReportPath) {
      this->TakeReport(exchange);
      return;
    }
    if (request.target() == kOwnersPath) {
      this->TellOwners(exchange);
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

auto PeerExchange::TakeReport(HttpExchange& exchange) -> void {
  if (!this->keeper->IsActive()) {
    exchange.Send(HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  const auto report = LoadReport::Decode(exchange.Request().body());
  this->peers[report.host] = {FromText(report.endpoint), this->clock.Now()};
  this->keeper->OnReport(report);
  HttpResponse response{http::status::ok, 11};
  response.body() = this->MakeAdvice(report).Encode();
  exchange.Send(std::move(response));
}

auto PeerExchange::TellOwners(HttpExchange& exchange) -> void {
  if (!this->keeper->IsActive()) {
    exchange.Send(HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  const auto known = DecodeVersions(exchange.Request().body());
  HttpResponse response{http::status::ok, 11};
  response.body() = this->keeper->OwnersSince(known).Encode();
  exchange.Send(std::move(response));
}

auto PeerExchange::OnBadInput(const std::string& what) -> void {
  Log(events::kBadPeerMessage, {{"what", what}});
}

}  // namespace currantbeam
