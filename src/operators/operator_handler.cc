#include "operators/operator_handler.h"

#include <map>
#include <utility>

#include "core/events.h"
#include "routing/routing.h"

namespace currantbeam {
namespace {

auto JsonReply(http::status status, const nlohmann::json& body)
    -> HttpResponse {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, "application/json");
  response.body() = ToJsonText(body) + "\n";
  return response;
}

auto ErrorReply(http::status status, const std::string& message)
    -> HttpResponse {
  return JsonReply(status, {{"error", message}});
}

auto QueryParameter(std::string_view target, std::string_view name)
    -> std::string {
  auto separator = target.find('?');
  while (separator != std::string_view::npos) {
    target.remove_prefix(separator + 1);
    const auto end = target.find('&');
    const auto pair = target.substr(0, end);
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return std::string(pair.substr(equals + 1));
    }
    separator = end;
  }
  return {};
}

auto RoleName(const Placer& placer) -> std::string {
  if (placer.IsReady()) return "active";
  return placer.GetElection().IsLeading() ? "candidate" : "standby";
}

auto ChangesToJson(const std::vector<ConfigChange>& changes) -> nlohmann::json {
  auto rows = nlohmann::json::array();
  for (const auto& change : changes) {
    rows.push_back({{"version", change.version},
                    {"author", change.author},
                    {"changes", change.lines}});
  }
  return rows;
}

}  // namespace

auto OperatorHandler::OnBadInput(const std::string& message) -> void {
  Log(events::kBadCommand, {{"error", message}});
}

auto OperatorHandler::Handle(HttpExchange& exchange) -> void {
  HttpResponse response;
  try {
    response = this->HandleRequest(exchange.Request());
  } catch (const PlatformError& error) {
    response = ErrorReply(http::status::service_unavailable, error.what());
  } catch (const InputError& error) {
    this->OnBadInput(error.what());
    response = ErrorReply(http::status::bad_request, error.what());
  } catch (const nlohmann::json::exception& error) {
    this->OnBadInput(error.what());
    response = ErrorReply(http::status::bad_request, error.what());
  }
  exchange.Send(std::move(response));
}

auto OperatorHandler::HandleRequest(const HttpRequest& request)
    -> HttpResponse {
  const std::string target(request.target());
  const auto path = target.substr(0, target.find('?'));
  const bool is_post = request.method() == http::verb::post;
  if (path == "/livez") return JsonReply(http::status::ok, {{"live", true}});
  if (path == "/readyz") {
    const bool ready = this->process.GetConfiguration().has_value();
    return JsonReply(
        ready ? http::status::ok : http::status::service_unavailable,
        {{"ready", ready}});
  }
  if (path == "/v1/status") return JsonReply(http::status::ok, this->Status());
  if (path == "/v1/explain") {
    return JsonReply(http::status::ok,
                     this->Explain(QueryParameter(target, "service"),
                                   QueryParameter(target, "key")));
  }
  if (path == "/v1/config" && is_post) return this->Apply(request);
  if (path == "/v1/config") {
    return JsonReply(http::status::ok, this->ConfigurationStatus());
  }
  if (path == "/v1/history") {
    const auto history = this->process.GetConfigStore().History();
    return JsonReply(http::status::ok, {{"history", ChangesToJson(history)}});
  }
  if (path == "/v1/hosts" && is_post) return this->MarkHost(request);
  if (path == "/v1/settlement") {
    return JsonReply(http::status::ok, this->SettlementReport());
  }
  return ErrorReply(http::status::not_found, "no command " + path);
}

auto OperatorHandler::ServerRows() -> nlohmann::json {
  auto rows = nlohmann::json::array();
  std::map<std::string, std::size_t> slots;
  const auto& documents = this->process.GetPlacer().Documents();
  for (const auto* document : documents.FindByPrefix("segment/")) {
    const auto segment = document->body.get<Segment>();
    for (const auto& [index, slot] : segment.slots) ++slots[slot.owner.Value()];
  }
  const auto& drives = this->process.GetPlacer().Drivers();
  const bool is_active = this->process.GetPlacer().IsReady();
  for (const auto* document : documents.FindByPrefix("drivers/")) {
    for (const auto& row : document->body) {
      const auto id = row.at("id").get<ServerId>();
      nlohmann::json server_json = {{"server", id},
                                    {"service", row.at("service")},
                                    {"domain", row.at("domain")},
                                    {"driver", row.at("gateway")},
                                    {"leaving", row.at("leaving")},
                                    {"slots_owned", slots[id.Value()]}};
      const auto* drive = is_active ? drives.Find(id) : nullptr;
      if (drive != nullptr) server_json["healthy"] = drives.IsHealthy(id);
      rows.push_back(server_json);
    }
  }
  return rows;
}

auto OperatorHandler::Status() -> nlohmann::json {
  const auto& placer = this->process.GetPlacer();
  const auto term = placer.GetElection().GetTerm();
  auto terms = nlohmann::json::array();
  for (const auto* document : placer.Documents().FindByPrefix("term/")) {
    terms.push_back({{"domain", document->name.substr(5)},
                     {"placer", document->body.at("holder")},
                     {"term", document->body.at("number")},
                     {"voters", document->body.at("voters").size()}});
  }
  const auto& configuration = this->process.GetConfiguration();
  return {{"host", this->process.GetSettings().host},
          {"domain", this->process.GetSettings().domain},
          {"role", RoleName(placer)},
          {"term", {term.number, term.offline}},
          {"platform_reachable", this->process.IsPlatformReachable()},
          {"config_version", configuration ? configuration->version : 0},
          {"domains", terms},
          {"servers", this->ServerRows()}};
}

auto OperatorHandler::Explain(const std::string& service,
                              const std::string& key) -> nlohmann::json {
  const auto& configuration = this->process.GetConfiguration();
  if (!configuration) throw InputError("no configuration is known yet");
  const auto* service_config = configuration->FindService(ServiceName(service));
  if (service_config == nullptr) {
    throw InputError("field 'service': '" + service + "' is not a service");
  }
  if (key.empty()) throw InputError("field 'key': is missing");
  const auto& documents = this->process.GetPlacer().Documents();
  const auto routes = RoutingTable::Build(
      documents, {{service_config->name, service_config->slots}});
  const auto hash = HashKey(key);
  const auto route = routes->Find(service_config->name)->Find(hash);
  nlohmann::json explanation = {
      {"service", service},     {"key", key},
      {"slot", route.slot},     {"epoch", route.epoch},
      {"moving", route.moving}, {"hot", route.hot}};
  const auto base_slot = static_cast<SlotIndex>(hash % service_config->slots);
  const auto& home = configuration->HomeDomainOf(base_slot);
  explanation["home"] = home;
  explanation["why"] = route.hot ? "the key has a slot of its own, being hot"
                                 : "the key's hash falls into this slot";
  if (route.target != nullptr) {
    explanation["owner"] = route.target->server.id;
    explanation["driver"] = route.target->gateway;
    explanation["domain"] = route.target->server.domain;
  }
  const auto* segment =
      documents.Find(Segment{service_config->name, home, {}, {}}.Name());
  if (segment != nullptr) {
    explanation["term"] = segment->stamp.term;
    const auto slots = segment->body.get<Segment>().slots;
    const auto slot = slots.find(route.slot);
    if (slot != slots.end()) {
      explanation["successor"] = slot->second.successor;
      explanation["since"] =
          this->process.AssignmentTime(service_config->name, route.slot);
      explanation["reason"] =
          this->process.AssignmentReason(service_config->name, route.slot);
    }
  }
  return explanation;
}

auto OperatorHandler::ConfigurationStatus() -> nlohmann::json {
  const auto& current_config = this->process.GetConfiguration();
  if (!current_config) throw PlatformError("no configuration is known yet");
  auto domains = nlohmann::json::object();
  bool accepted = true;
  const auto in_force = this->process.GetConfigStore().VersionsInForce();
  for (const auto& domain : current_config->failure_domains) {
    const auto found = in_force.find(domain);
    const auto version = found == in_force.end() ? 0 : found->second;
    domains[domain.Value()] = version;
    accepted = accepted && version >= current_config->version;
  }
  return {{"version", current_config->version},
          {"accepted", accepted},
          {"in_force", domains},
          {"configuration", *current_config}};
}

auto OperatorHandler::StoreConfiguration(Configuration configuration,
                                         std::uint64_t base) -> HttpResponse {
  const auto result =
      this->process.GetConfigStore().Apply(std::move(configuration), base);
  if (!result.stored) {
    Log(events::kConfigRefused, {{"base", base}, {"newest", result.version}});
    return JsonReply(http::status::conflict,
                     {{"error", "the configuration has changed since version " +
                                    std::to_string(base)},
                      {"version", result.version},
                      {"since", ChangesToJson(result.newer_changes)}});
  }
  this->process.RefreshConfiguration();
  return JsonReply(http::status::ok,
                   {{"stored", true}, {"version", result.version}});
}

auto OperatorHandler::Apply(const HttpRequest& request) -> HttpResponse {
  const auto command = nlohmann::json::parse(request.body());
  const auto base = command.at("base_version").get<std::uint64_t>();
  auto configuration =
      Configuration::FromToml(command.at("toml").get<std::string>(),
                              command.value("file", "configuration"));
  configuration.author = command.at("author").get<std::string>();
  return this->StoreConfiguration(std::move(configuration), base);
}

auto OperatorHandler::MarkHost(const HttpRequest& request) -> HttpResponse {
  const auto command = nlohmann::json::parse(request.body());
  const auto id = command.at("id").get<std::string>();
  const auto mark = command.at("mark").get<std::string>();
  const auto stored = this->process.GetConfigStore().Read();
  if (!stored) throw InputError("no configuration is stored yet");
  auto configuration = *stored;
  configuration.author = command.at("author").get<std::string>();
  configuration.leaving.erase(id);
  configuration.lost.erase(id);
  if (mark == "leaving") {
    configuration.leaving.insert(id);
  } else if (mark == "lost") {
    configuration.lost.insert(id);
  } else if (mark != "joining") {
    throw InputError("field 'mark': '" + mark +
                     "' is none of joining, leaving, lost");
  }
  return this->StoreConfiguration(std::move(configuration), stored->version);
}

auto OperatorHandler::SettlementReport() -> nlohmann::json {
  const auto account = AccountStore::ReadAll(this->process.GetPlatform());
  auto rows = nlohmann::json::array();
  for (const auto& [key, entry] : account.Entries()) {
    rows.push_back({{"neighbour", key.neighbour},
                    {"class", key.class_name},
                    {"server", key.server},
                    {"requests", entry.requests},
                    {"slot_us", entry.slot_time.count()}});
  }
  return {{"total_slot_us", account.Total().count()}, {"rows", rows}};
}

}  // namespace currantbeam
