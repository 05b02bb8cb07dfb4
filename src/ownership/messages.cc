#include "ownership/messages.h"

namespace currantbeam {

auto to_json(nlohmann::json& json, const DriveOrder& order) -> void {
  json = nlohmann::json::array({order.server, order.token});
}

auto from_json(const nlohmann::json& json, DriveOrder& order) -> void {
  json.at(0).get_to(order.server);
  json.at(1).get_to(order.token);
}

auto to_json(nlohmann::json& json, const DriveReport& drive) -> void {
  json = nlohmann::json::array({drive.server, drive.token, drive.healthy,
                                drive.lapsed, drive.aligned, drive.load});
}

auto from_json(const nlohmann::json& json, DriveReport& drive) -> void {
  json.at(0).get_to(drive.server);
  json.at(1).get_to(drive.token);
  json.at(2).get_to(drive.healthy);
  json.at(3).get_to(drive.lapsed);
  json.at(4).get_to(drive.aligned);
  json.at(5).get_to(drive.load);
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

auto to_json(nlohmann::json& json, const Beat& beat) -> void {
  json = {{"t", "beat"},
          {"p", beat.placer},
          {"s", beat.session},
          {"i", beat.incarnation},
          {"m", beat.term},
          {"f", (beat.leading ? 1 : 0) | (beat.active ? 2 : 0) |
                    (beat.wants_documents ? 4 : 0)},
          {"c", beat.clock},
          {"e", beat.echo},
          {"u", beat.cursor}};
  if (!beat.documents.empty()) json["d"] = beat.documents;
  if (!beat.orders.empty()) json["o"] = beat.orders;
}

auto from_json(const nlohmann::json& json, Beat& beat) -> void {
  json.at("p").get_to(beat.placer);
  json.at("s").get_to(beat.session);
  json.at("i").get_to(beat.incarnation);
  json.at("m").get_to(beat.term);
  const auto flags = json.at("f").get<int>();
  beat.leading = (flags & 1) != 0;
  beat.active = (flags & 2) != 0;
  beat.wants_documents = (flags & 4) != 0;
  json.at("c").get_to(beat.clock);
  json.at("e").get_to(beat.echo);
  json.at("u").get_to(beat.cursor);
  if (json.contains("d")) json.at("d").get_to(beat.documents);
  if (json.contains("o")) json.at("o").get_to(beat.orders);
}

auto to_json(nlohmann::json& json, const Report& report) -> void {
  json = {{"t", "report"},
          {"g", report.gateway},
          {"i", report.incarnation},
          {"q", report.eligible},
          {"x", report.leaving},
          {"b", report.bound_to},
          {"m", report.bound_term},
          {"h", report.highest_term},
          {"c", report.clock},
          {"e", report.echo},
          {"s", report.session},
          {"u", report.cursor},
          {"v", report.config_version}};
  if (!report.drives.empty()) json["r"] = report.drives;
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
  json.at("b").get_to(report.bound_to);
  json.at("m").get_to(report.bound_term);
  json.at("h").get_to(report.highest_term);
  json.at("c").get_to(report.clock);
  json.at("e").get_to(report.echo);
  json.at("s").get_to(report.session);
  json.at("u").get_to(report.cursor);
  json.at("v").get_to(report.config_version);
  if (json.contains("r")) json.at("r").get_to(report.drives);
  if (json.contains("d")) json.at("d").get_to(report.documents);
  if (json.contains("k")) json.at("k").get_to(report.hot_keys);
  if (json.contains("l")) json.at("l").get_to(report.loads);
  if (json.contains("a")) report.account = json.at("a");
}

}  // namespace currantbeam
