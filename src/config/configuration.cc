#include "config/configuration.h"

#include <algorithm>
#include <utility>

#include "config/toml_reader.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxSlots = 1'000'000;
constexpr milliseconds kMaxTimeLimit{600'000};

auto ReadService(TomlReader& reader) -> Service {
  Service service;
  service.name = ServiceName(reader.String("name"));
  service.path_prefix = reader.String("path_prefix");
  if (service.path_prefix.front() != '/') {
    reader.Fail("path_prefix", "must start with '/'");
  }
  service.slots = static_cast<SlotIndex>(reader.Integer("slots", 1, kMaxSlots));
  const auto source = reader.String("key_from");
  if (source == "path") {
    service.key_source = KeySource::kPathSegment;
    constexpr std::int64_t kMaxKeySegment = 16;
    service.key_segment =
        static_cast<int>(reader.Integer("key_segment", 0, kMaxKeySegment, 0));
  } else if (source == "header" || source == "query") {
    service.key_source =
        source == "header" ? KeySource::kHeader : KeySource::kQuery;
    service.key_name = reader.String("key_name");
  } else {
    reader.Fail("key_from", "'" + source + "' is none of path, header, query");
  }
  reader.RejectUnknownFields();
  return service;
}

auto ReadRequestClass(TomlReader& reader, const Configuration& configuration)
    -> RequestClass {
  RequestClass request_class;
  constexpr double kMaxShare = 1000;
  request_class.name = ClassName(reader.String("name"));
  request_class.service = ServiceName(reader.String("service"));
  if (configuration.FindService(request_class.service) == nullptr) {
    reader.Fail("service",
                "'" + request_class.service.Value() + "' is not a service");
  }
  request_class.method = reader.String("method", "");
  request_class.path_prefix = reader.String("path_prefix", "");
  request_class.idempotent = reader.Boolean("idempotent", false);
  request_class.waiting_target = reader.Milliseconds(
      "waiting_target_ms", milliseconds(1), kMaxTimeLimit, milliseconds(50));
  request_class.completion_target =
      reader.Number("completion_target", 0, 1, 0.99);
  request_class.share = reader.Number("share", 0.001, kMaxShare, 1);
  request_class.deadline = reader.Milliseconds(
      "deadline_ms", milliseconds(1), kMaxTimeLimit, milliseconds(10000));
  reader.RejectUnknownFields();
  return request_class;
}

auto ReadNeighbour(TomlReader& reader) -> Neighbour {
  Neighbour neighbour;
  constexpr double kMaxShare = 1000;
  neighbour.name = NeighbourName(reader.String("name"));
  neighbour.share = reader.Number("share", 0.001, kMaxShare, 1);
  reader.RejectUnknownFields();
  return neighbour;
}

auto ReadHostStates(TomlReader& root, Configuration& configuration) -> void {
  if (!root.Has("hosts")) return;
  auto reader = root.Table("hosts");
  for (auto& host : reader.Strings("leaving")) {
    configuration.leaving.insert(host);
  }
  for (auto& host : reader.Strings("lost")) configuration.lost.insert(host);
  reader.RejectUnknownFields();
}

auto KeySourceName(KeySource source) -> std::string {
  switch (source) {
    case KeySource::kPathSegment:
      return "path";
    case KeySource::kHeader:
      return "header";
    case KeySource::kQuery:
      return "query";
  }
  return "path";
}

auto KeySourceFromName(const std::string& name) -> KeySource {
  if (name == "header") return KeySource::kHeader;
  if (name == "query") return KeySource::kQuery;
  return KeySource::kPathSegment;
}

template <typename Items>
auto CheckUnique(const TomlReader& reader, const std::string& field,
                 const Items& items) -> void {
  std::set<std::string> names;
  for (const auto& item : items) {
    if (!names.insert(item.name.Value()).second) {
      reader.Fail(field, "'" + item.name.Value() + "' appears twice");
    }
  }
}

}  // namespace

auto to_json(nlohmann::json& json, const Service& service) -> void {
  json = {{"name", service.name},
          {"path_prefix", service.path_prefix},
          {"key_from", KeySourceName(service.key_source)},
          {"key_name", service.key_name},
          {"key_segment", service.key_segment},
          {"slots", service.slots}};
}

auto from_json(const nlohmann::json& json, Service& service) -> void {
  json.at("name").get_to(service.name);
  json.at("path_prefix").get_to(service.path_prefix);
  service.key_source =
      KeySourceFromName(json.at("key_from").get<std::string>());
  json.at("key_name").get_to(service.key_name);
  json.at("key_segment").get_to(service.key_segment);
  json.at("slots").get_to(service.slots);
}

auto to_json(nlohmann::json& json, const RequestClass& request_class) -> void {
  json = {{"name", request_class.name},
          {"service", request_class.service},
          {"method", request_class.method},
          {"path_prefix", request_class.path_prefix},
          {"idempotent", request_class.idempotent},
          {"waiting_target_ms", request_class.waiting_target.count()},
          {"completion_target", request_class.completion_target},
          {"share", request_class.share},
          {"deadline_ms", request_class.deadline.count()}};
}

auto from_json(const nlohmann::json& json, RequestClass& request_class)
    -> void {
  json.at("name").get_to(request_class.name);
  json.at("service").get_to(request_class.service);
  json.at("method").get_to(request_class.method);
  json.at("path_prefix").get_to(request_class.path_prefix);
  json.at("idempotent").get_to(request_class.idempotent);
  request_class.waiting_target =
      milliseconds(json.at("waiting_target_ms").get<int>());
  json.at("completion_target").get_to(request_class.completion_target);
  json.at("share").get_to(request_class.share);
  request_class.deadline = milliseconds(json.at("deadline_ms").get<int>());
}

auto to_json(nlohmann::json& json, const Neighbour& neighbour) -> void {
  json = {{"name", neighbour.name}, {"share", neighbour.share}};
}

auto from_json(const nlohmann::json& json, Neighbour& neighbour) -> void {
  json.at("name").get_to(neighbour.name);
  json.at("share").get_to(neighbour.share);
}

auto to_json(nlohmann::json& json, const Configuration& configuration) -> void {
  json = {{"version", configuration.version},
          {"author", configuration.author},
          {"deployment", configuration.deployment},
          {"failure_domains", configuration.failure_domains},
          {"neighbour_header", configuration.neighbour_header},
          {"services", configuration.services},
          {"classes", configuration.classes},
          {"neighbours", configuration.neighbours},
          {"leaving", configuration.leaving},
          {"lost", configuration.lost}};
}

auto from_json(const nlohmann::json& json, Configuration& configuration)
    -> void {
  json.at("version").get_to(configuration.version);
  json.at("author").get_to(configuration.author);
  json.at("deployment").get_to(configuration.deployment);
  json.at("failure_domains").get_to(configuration.failure_domains);
  json.at("neighbour_header").get_to(configuration.neighbour_header);
  json.at("services").get_to(configuration.services);
  json.at("classes").get_to(configuration.classes);
  json.at("neighbours").get_to(configuration.neighbours);
  json.at("leaving").get_to(configuration.leaving);
  json.at("lost").get_to(configuration.lost);
}

auto Configuration::FromToml(const std::string& text, const std::string& file)
    -> Configuration {
  auto root = TomlReader::Parse(text, file);
  Configuration configuration;
  configuration.deployment = root.String("deployment");
  for (auto& domain : root.Strings("failure_domains")) {
    configuration.failure_domains.emplace_back(domain);
  }
  if (configuration.failure_domains.empty()) {
    root.Fail("failure_domains", "needs at least one failure domain");
  }
  configuration.neighbour_header =
      root.String("neighbour_header", "x-neighbour");
  for (auto& reader : root.Tables("service")) {
    configuration.services.push_back(ReadService(reader));
  }
  if (configuration.services.empty()) {
    root.Fail("service", "needs at least one service");
  }
  for (auto& reader : root.Tables("class")) {
    configuration.classes.push_back(ReadRequestClass(reader, configuration));
  }
  for (const auto& service : configuration.services) {
    const bool has_class =
        std::any_of(configuration.classes.begin(), configuration.classes.end(),
                    [&](const RequestClass& request_class) {
                      return request_class.service == service.name;
                    });
    if (!has_class) {
      root.Fail("class",
                "service '" + service.name.Value() + "' has no class of work");
    }
  }
  for (auto& reader : root.Tables("neighbour")) {
    configuration.neighbours.push_back(ReadNeighbour(reader));
  }
  CheckUnique(root, "service", configuration.services);
  CheckUnique(root, "class", configuration.classes);
  CheckUnique(root, "neighbour", configuration.neighbours);
  ReadHostStates(root, configuration);
  root.RejectUnknownFields();
  return configuration;
}

auto Configuration::FindService(const ServiceName& name) const
    -> const Service* {
  for (const auto& service : this->services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

auto Configuration::MatchService(std::string_view target) const
    -> const Service* {
  for (const auto& service : this->services) {
    if (target.substr(0, service.path_prefix.size()) == service.path_prefix) {
      return &service;
    }
  }
  return nullptr;
}

auto Configuration::MatchClass(const Service& service, std::string_view method,
                               std::string_view target) const
    -> const RequestClass* {
  const auto rest =
      target.substr(std::min(service.path_prefix.size(), target.size()));
  for (const auto& entry : this->classes) {
    if (entry.service != service.name) continue;
    if (!entry.method.empty() && entry.method != method) continue;
    if (rest.substr(0, entry.path_prefix.size()) != entry.path_prefix) continue;
    return &entry;
  }
  return nullptr;
}

auto Configuration::FindClass(const ClassName& name) const
    -> const RequestClass* {
  for (const auto& request_class : this->classes) {
    if (request_class.name == name) return &request_class;
  }
  return nullptr;
}

auto Configuration::ShareOf(const NeighbourName& name) const -> double {
  for (const auto& neighbour : this->neighbours) {
    if (neighbour.name == name) return neighbour.share;
  }
  return 1;
}

auto Configuration::HomeDomainOf(SlotIndex slot) const -> const FailureDomain& {
  return this->failure_domains[slot % this->failure_domains.size()];
}

auto Configuration::SlotsHomedIn(const Service& service,
                                 const FailureDomain& domain) const
    -> std::vector<SlotIndex> {
  std::vector<SlotIndex> slots;
  for (SlotIndex slot = 0; slot < service.slots; ++slot) {
    if (this->HomeDomainOf(slot) == domain) slots.push_back(slot);
  }
  return slots;
}

auto DescribeChanges(const Configuration& before, const Configuration& after)
    -> std::vector<std::string> {
  nlohmann::json old_form = before;
  nlohmann::json new_form = after;
  for (const auto* field : {"version", "author"}) {
    old_form.erase(field);
    new_form.erase(field);
  }
  std::vector<std::string> lines;
  for (const auto& change : nlohmann::json::diff(old_form, new_form)) {
    auto line = change.at("op").get<std::string>() + " " +
                change.at("path").get<std::string>();
    if (change.contains("value")) line += " " + ToJsonText(change.at("value"));
    lines.push_back(line);
  }
  return lines;
}

}  // namespace currantbeam
