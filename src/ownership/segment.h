#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// The owner of one slot. A committed pair (epoch, owner) never changes.
/// `successor` is committed in advance as the owner of epoch + 1, so that it
/// can take over without another commit if the owner is lost.
struct SlotAssignment {
  ServerId owner;
  Epoch epoch = 0;
  ServerId successor;
  bool moving = false;  ///< Requests wait until the move is committed.

  friend auto operator==(const SlotAssignment& a, const SlotAssignment& b)
      -> bool {
    return a.owner == b.owner && a.epoch == b.epoch &&
           a.successor == b.successor && a.moving == b.moving;
  }
};

/// A hot key, which has a slot of its own instead of the one it hashes to.
struct HotKey {
  std::uint64_t hash = 0;
  SlotIndex slot = 0;
};

/// The slots of one service whose home is one failure domain.
struct Segment {
  ServiceName service;
  FailureDomain domain;
  std::map<SlotIndex, SlotAssignment> slots;
  std::vector<HotKey> hot_keys;

  /// @return the name of the segment's document and table row.
  [[nodiscard]] auto Name() const -> std::string;
  /// @return the common prefix of the names of a domain's segments.
  static auto NamePrefix(const FailureDomain& domain) -> std::string;
};

auto to_json(nlohmann::json& json, const Segment& segment) -> void;
auto from_json(const nlohmann::json& json, Segment& segment) -> void;

}  // namespace currantbeam
