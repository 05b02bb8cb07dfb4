#include "ownership/segment.h"

namespace currantbeam {

auto Segment::NamePrefix(const FailureDomain& domain) -> std::string {
  return "segment/" + domain.Value() + "/";
}

auto Segment::Name() const -> std::string {
  return NamePrefix(this->domain) + this->service.Value();
}

auto to_json(nlohmann::json& json, const Segment& segment) -> void {
  // Each server id is written once and referred to by its index (-1 for none);
  // a slot is written as [slot, epoch, owner, successor, moving].
  std::map<ServerId, std::size_t> indices;
  auto servers = nlohmann::json::array();
  const auto index_of = [&](const ServerId& server) -> std::int64_t {
    if (server.IsEmpty()) return -1;
    const auto [it, inserted] = indices.emplace(server, indices.size());
    if (inserted) servers.push_back(server);
    return static_cast<std::int64_t>(it->second);
  };
  auto slots = nlohmann::json::array();
  for (const auto& [index, slot] : segment.slots) {
    slots.push_back({index, slot.epoch, index_of(slot.owner),
                     index_of(slot.successor), slot.moving ? 1 : 0});
  }
  auto hot = nlohmann::json::array();
  for (const auto& key : segment.hot_keys) hot.push_back({key.hash, key.slot});
  json = {{"service", segment.service},
          {"domain", segment.domain},
          {"servers", servers},
          {"slots", slots},
          {"hot", hot}};
}

auto from_json(const nlohmann::json& json, Segment& segment) -> void {
  json.at("service").get_to(segment.service);
  json.at("domain").get_to(segment.domain);
  const auto servers = json.at("servers").get<std::vector<ServerId>>();
  const auto server_at = [&](std::int64_t index) {
    return index < 0 ? ServerId() : servers.at(static_cast<std::size_t>(index));
  };
  segment.slots.clear();
  for (const auto& row : json.at("slots")) {
    auto& slot = segment.slots[row.at(0).get<SlotIndex>()];
    slot.epoch = row.at(1).get<Epoch>();
    slot.owner = server_at(row.at(2).get<std::int64_t>());
    slot.successor = server_at(row.at(3).get<std::int64_t>());
    slot.moving = row.at(4).get<int>() != 0;
  }
  segment.hot_keys.clear();
  for (const auto& row : json.at("hot")) {
    segment.hot_keys.push_back(
        {row.at(0).get<std::uint64_t>(), row.at(1).get<SlotIndex>()});
  }
}

}  // namespace currantbeam
