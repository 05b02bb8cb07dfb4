#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "ownership/ownership.h"

namespace currantbeam {

/// @return the hash that determines the slot of a key.
auto HashKey(std::string_view key) -> std::uint64_t;

/// A backend server and the gateway through which requests reach it.
struct RouteTarget {
  BackendServer server;
  HostId gateway;  ///< Holds the server's drive lease; empty if none does.
  /// The previous holder of the drive lease, if that gateway was lost.
  HostId lost_gateway;
  Endpoint hop;  ///< Where `gateway` accepts requests from other gateways.
};

/// The slot of a key and the server that owns it.
struct Route {
  SlotIndex slot = 0;
  Epoch epoch = 0;
  bool moving = false;  ///< New requests are held until the slot has moved.
  bool hot = false;     ///< The key has a dedicated slot.
  const RouteTarget* target = nullptr;  ///< Null if the slot is unassigned.
};

/// The slots of one service and their owners, in all failure domains.
class ServiceRoutes {
 public:
  /// @param base_slots  number of slots that keys hash to. Slots from this
  ///   index on are dedicated to hot keys.
  explicit ServiceRoutes(SlotIndex base_slots) : base_slots(base_slots) {}

  /// @return the route of the key with this hash. Allocates no memory.
  [[nodiscard]] auto Find(std::uint64_t hash) const -> Route;
  /// @return the slot of the key with this hash.
  [[nodiscard]] auto SlotOf(std::uint64_t hash) const -> SlotIndex;

 private:
  friend class RoutingTable;
  struct Entry {
    const RouteTarget* target = nullptr;
    Epoch epoch = 0;
    bool moving = false;
  };
  SlotIndex base_slots;
  std::vector<Entry> entries;  ///< By slot index.
  /// Dedicated slots, by the hash of the key.
  std::unordered_map<std::uint64_t, SlotIndex> hot_keys;
};

/// A snapshot that maps every key to the server that owns it and the gateway
/// that holds that server's drive lease. Immutable once built, so that workers
/// share it without locks.
class RoutingTable {
 public:
  /// A service and the number of slots that its keys hash to.
  struct ServiceSize {
    ServiceName service;
    SlotIndex slots = 0;
  };

  /// Builds the table. Segments of services that are not listed are ignored.
  /// @param documents  segments and drivers of all failure domains.
  /// @throws nlohmann::json::exception if a document is malformed.
  static auto Build(const DocumentSet& documents,
                    const std::vector<ServiceSize>& services)
      -> std::shared_ptr<const RoutingTable>;

  /// @return the routes of the service, or nullptr if it is unknown.
  [[nodiscard]] auto Find(const ServiceName& service) const
      -> const ServiceRoutes*;
  /// @return the server, or nullptr if it is unknown.
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
