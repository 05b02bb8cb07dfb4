#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "ownership/ownership.h"

namespace currantbeam {

/// @return the hash by which keys are divided into slots.
auto HashKey(std::string_view key) -> std::uint64_t;

/// A backend server as requests are routed to it.
struct RouteTarget {
  BackendServer server;
  HostId gateway;  ///< The gateway that drives the server; empty if none.
  /// The gateway that drove it before, if that one was lost.
  HostId lost_gateway;
  Endpoint hop;  ///< Where that gateway takes requests of other gateways.
};

/// Where a key is served.
struct Route {
  SlotIndex slot = 0;
  Epoch epoch = 0;
  bool moving = false;
  bool hot = false;                     ///< The key has a slot of its own.
  const RouteTarget* target = nullptr;  ///< Null if nobody owns the slot.
};

/// The slots of one service, over all failure domains.
class ServiceRoutes {
 public:
  explicit ServiceRoutes(SlotIndex base_slots) : base_slots(base_slots) {}

  /// Finds the owner of a key; allocates nothing.
  [[nodiscard]] auto Find(std::uint64_t hash) const -> Route;
  [[nodiscard]] auto SlotOf(std::uint64_t hash) const -> SlotIndex;

 private:
  friend class RoutingTable;
  struct Entry {
    const RouteTarget* target = nullptr;
    Epoch epoch = 0;
    bool moving = false;
  };
  SlotIndex base_slots;
  std::vector<Entry> entries;
  std::unordered_map<std::uint64_t, SlotIndex> hot_keys;
};

/// Maps every key to its owner and that owner's driver, as of one moment.
/// Immutable once built, so that workers share it without locks.
class RoutingTable {
 public:
  /// A service and the number of slots that its keys hash to.
  struct ServiceSize {
    ServiceName service;
    SlotIndex slots = 0;
  };

  /// @param documents  segments and drivers of all failure domains.
  /// @throws nlohmann::json::exception if a document is malformed.
  static auto Build(const DocumentSet& documents,
                    const std::vector<ServiceSize>& services)
      -> std::shared_ptr<const RoutingTable>;

  /// @return the service's routes, or nullptr.
  [[nodiscard]] auto Find(const ServiceName& service) const
      -> const ServiceRoutes*;
  [[nodiscard]] auto FindTarget(const ServerId& server) const
      -> const RouteTarget*;
  [[nodiscard]] auto Targets() const
      -> const std::unordered_map<ServerId, RouteTarget>& {
    return this->targets;
  }

 private:
  std::unordered_map<ServerId, RouteTarget> targets;
  std::unordered_map<ServiceName, ServiceRoutes> services;
};

}  // namespace currantbeam
