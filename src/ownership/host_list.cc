#include "ownership/host_list.h"

#include <tuple>

namespace currantbeam {

auto operator==(const BackendServer& a, const BackendServer& b) -> bool {
  return a.id == b.id && a.service == b.service && a.domain == b.domain &&
         a.endpoint == b.endpoint && a.slots == b.slots &&
         a.connections == b.connections && a.checks_tokens == b.checks_tokens &&
         a.leaving == b.leaving;
}

auto to_json(nlohmann::json& json, const Endpoint& endpoint) -> void {
  json = nlohmann::json::array({endpoint.address, endpoint.port});
}

auto from_json(const nlohmann::json& json, Endpoint& endpoint) -> void {
  json.at(0).get_to(endpoint.address);
  json.at(1).get_to(endpoint.port);
}

auto to_json(nlohmann::json& json, const EntryHost& host) -> void {
  json = {{"id", host.id},           {"domain", host.domain},
          {"control", host.control}, {"hop", host.hop},
          {"placer", host.placer},   {"operators", host.operators},
          {"leaving", host.leaving}};
}

auto from_json(const nlohmann::json& json, EntryHost& host) -> void {
  json.at("id").get_to(host.id);
  json.at("domain").get_to(host.domain);
  json.at("control").get_to(host.control);
  json.at("hop").get_to(host.hop);
  json.at("placer").get_to(host.placer);
  json.at("operators").get_to(host.operators);
  host.leaving = json.value("leaving", false);
}

auto to_json(nlohmann::json& json, const BackendServer& server) -> void {
  json = {{"id", server.id},
          {"service", server.service},
          {"domain", server.domain},
          {"endpoint", server.endpoint},
          {"slots", server.slots},
          {"connections", server.connections},
          {"checks_tokens", server.checks_tokens},
          {"leaving", server.leaving}};
}

auto from_json(const nlohmann::json& json, BackendServer& server) -> void {
  json.at("id").get_to(server.id);
  json.at("service").get_to(server.service);
  json.at("domain").get_to(server.domain);
  json.at("endpoint").get_to(server.endpoint);
  json.at("slots").get_to(server.slots);
  json.at("connections").get_to(server.connections);
  server.checks_tokens = json.value("checks_tokens", true);
  server.leaving = json.value("leaving", false);
}

auto to_json(nlohmann::json& json, const HostList& list) -> void {
  json = {{"entry_hosts", list.entry_hosts}, {"servers", list.servers}};
}

auto from_json(const nlohmann::json& json, HostList& list) -> void {
  json.at("entry_hosts").get_to(list.entry_hosts);
  json.at("servers").get_to(list.servers);
}

}  // namespace currantbeam
