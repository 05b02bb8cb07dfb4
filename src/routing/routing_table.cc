#include "routing/routing_table.h"

#include <xxhash.h>

namespace currantbeam {

auto HashKey(std::string_view key) -> std::uint64_t {
  return XXH3_64bits(key.data(), key.size());
}

auto ServiceRoutes::SlotOf(std::uint64_t hash) const -> SlotIndex {
  if (!this->hot_keys.empty()) {
    const auto hot = this->hot_keys.find(hash);
    if (hot != this->hot_keys.end()) return hot->second;
  }
  return static_cast<SlotIndex>(hash % this->base_slots);
}

auto ServiceRoutes::Find(std::uint64_t hash) const -> Route {
  Route route;
  route.slot = this->SlotOf(hash);
  route.hot = route.slot >= this->base_slots;
  if (route.slot >= this->entries.size()) return route;
  const auto& entry = this->entries[route.slot];
  route.epoch = entry.epoch;
  route.moving = entry.moving;
  route.target = entry.target;
  return route;
}

auto RoutingTable::Build(const DocumentSet& documents,
                         const std::vector<ServiceSize>& services)
    -> std::shared_ptr<const RoutingTable> {
  auto table = std::make_shared<RoutingTable>();
  for (const auto* document : documents.FindByPrefix("drivers/")) {
    for (const auto& row : document->body) {
      RouteTarget target;
      row.get_to(target.server);
      row.at("gateway").get_to(target.gateway);
      row.at("lost_gateway").get_to(target.lost_gateway);
      row.at("hop").get_to(target.hop);
      const auto id = target.server.id;
      table->targets[id] = std::move(target);
    }
  }
  for (const auto& [service, slots] : services) {
    table->services.emplace(service, ServiceRoutes(slots));
  }
  for (const auto* document : documents.FindByPrefix("segment/")) {
    const auto segment = document->body.get<Segment>();
    const auto found = table->services.find(segment.service);
    if (found == table->services.end()) continue;
    auto& routes = found->second;
    for (const auto& hot : segment.hot_keys) {
      routes.hot_keys[hot.hash] = hot.slot;
    }
    for (const auto& [index, slot] : segment.slots) {
      if (index >= routes.entries.size()) routes.entries.resize(index + 1);
      auto& entry = routes.entries[index];
      entry.target = table->FindTarget(slot.owner);
      entry.epoch = slot.epoch;
      entry.moving = slot.moving;
    }
  }
  return table;
}

auto RoutingTable::Find(const ServiceName& service) const
    -> const ServiceRoutes* {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : &found->second;
}

auto RoutingTable::FindTarget(const ServerId& server) const
    -> const RouteTarget* {
  const auto found = this->targets.find(server);
  return found == this->targets.end() ? nullptr : &found->second;
}

}  // namespace currantbeam
