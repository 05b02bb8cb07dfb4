#include "ownership/messages.h"

namespace currantbeam {

auto to_json(nlohmann::json& json, const DriverAssignment& assignment) -> void {
  json = nlohmann::json::array({assignment.server, assignment.token});
}

auto from_json(const nlohmann::json& json, DriverAssignment& assignment)
    -> void {
  json.at(0).get_to(assignment.server);
  json.at(1).get_to(assignment.token);
}

auto to_json(nlohmann::json& json, const DrivenServerReport& server_report)
    -> void {
  json = nlohmann::json::array(
      {server_report.server, server_report.token, server_report.healthy,
       server_report.lapsed, server_report.acked_cursor, server_report.load});
}

auto from_json(const nlohmann::json& json, DrivenServerReport& server_report)
    -> void {
  json.at(0).get_to(server_report.server);
  json.at(1).get_to(server_report.token);
  json.at(2).get_to(server_report.healthy);
  json.at(3).get_to(server_report.lapsed);
  json.at(4).get_to(server_report.acked_cursor);
  json.at(5).get_to(server_report.load);
}

auto to_json(nlohmann::json& json, const KeyCount& key) -> void {
  json = nlohmann::json::array({key.service, key.hash, key.count});
}

auto from_json(const nlohmann::json& json, KeyCount& key) -> void {
  json.at(0).get_to(key.service);
  json.at(1).get_to(key.hash);
  json.at(2).get_to(key.count);
}

auto to_json(nlohmann::json& json, const SlotLoad& load) -> void {
  json = nlohmann::json::array({load.service, load.slot, load.busy_us});
}

auto from_json(const nlohmann::json& json, SlotLoad& load) -> void {
  json.at(0).get_to(load.service);
  json.at(1).get_to(load.slot);
  json.at(2).get_to(load.busy_us);
}

auto to_json(nlohmann::json& json, const Heartbeat& heartbeat) -> void {
  json = {{"t", "beat"},
          {"p", heartbeat.placer},
          {"s", heartbeat.session},
          {"i", heartbeat.incarnation},
          {"m", heartbeat.term},
          {"f", (heartbeat.leading ? 1 : 0) | (heartbeat.active ? 2 : 0) |
                    (heartbeat.resync ? 4 : 0)},
          {"c", heartbeat.clock},
          {"e", heartbeat.echo},
          {"u", heartbeat.cursor}};
  if (!heartbeat.documents.empty()) json["d"] = heartbeat.documents;
  if (!heartbeat.assignments.empty()) json["o"] = heartbeat.assignments;
}

auto from_json(const nlohmann::json& json, Heartbeat& heartbeat) -> void {
  json.at("p").get_to(heartbeat.placer);
  json.at("s").get_to(heartbeat.session);
  json.at("i").get_to(heartbeat.incarnation);
  json.at("m").get_to(heartbeat.term);
  const auto flags = json.at("f").get<int>();
  heartbeat.leading = (flags & 1) != 0;
  heartbeat.active = (flags & 2) != 0;
  heartbeat.resync = (flags & 4) != 0;
  json.at("c").get_to(heartbeat.clock);
  json.at("e").get_to(heartbeat.echo);
  json.at("u").get_to(heartbeat.cursor);
  if (json.contains("d")) json.at("d").get_to(heartbeat.documents);
  if (json.contains("o")) json.at("o").get_to(heartbeat.assignments);
}

auto to_json(nlohmann::json& json, const Report& report) -> void {
  json = {{"t", "report"},
          {"g", report.gateway},
          {"i", report.incarnation},
          {"q", report.eligible},
          {"x", report.leaving},
          {"b", report.followed_placer},
          {"m", report.followed_term},
          {"h", report.highest_term},
          {"c", report.clock},
          {"e", report.echo},
          {"s", report.session},
          {"u", report.cursor},
          {"v", report.config_version}};
  if (!report.driven_servers.empty()) json["r"] = report.driven_servers;
  if (!report.documents.empty()) json["d"] = report.documents;
  if (!report.hot_keys.empty()) json["k"] = report.hot_keys;
  if (!report.loads.empty()) json["l"] = report.loads;
  if (!report.account.is_null()) json["a"] = report.account;
}

auto from_json(const nlohmann::json& json, Report& report) -> void {
  json.at("g").get_to(report.gateway);
  json.at("i").get_to(report.incarnation);
  json.at("q").get_to(report.eligible);
  json.at("x").get_to(report.leaving);
  json.at("b").get_to(report.followed_placer);
  json.at("m").get_to(report.followed_term);
  json.at("h").get_to(report.highest_term);
  json.at("c").get_to(report.clock);
  json.at("e").get_to(report.echo);
  json.at("s").get_to(report.session);
  json.at("u").get_to(report.cursor);
  json.at("v").get_to(report.config_version);
  if (json.contains("r")) json.at("r").get_to(report.driven_servers);
  if (json.contains("d")) json.at("d").get_to(report.documents);
  if (json.contains("k")) json.at("k").get_to(report.hot_keys);
  if (json.contains("l")) json.at("l").get_to(report.loads);
  if (json.contains("a")) report.account = json.at("a");
}

}  // namespace currantbeam
