#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "ownership/document.h"

namespace currantbeam {

/// A placer's decision that one gateway drives one backend server.
struct DriveOrder {
  ServerId server;
  FencingToken token = 0;
};

/// Placer to gateway, once a beat interval or when something changed.
struct Beat {
  HostId placer;
  std::uint64_t session = 0;      ///< Identifies one run of the placer.
  std::uint64_t incarnation = 0;  ///< The run of the gateway that it is for.
  Term term;
  bool leading = false;  ///< Asks the gateway to follow this placer.
  bool active = false;   ///< Followed by a majority: orders are in force.
  bool wants_documents = false;
  std::int64_t clock = 0;    ///< Placer's clock when sent, microseconds.
  std::int64_t echo = 0;     ///< Newest gateway clock seen, microseconds.
  std::uint64_t cursor = 0;  ///< The gateway is up to date after `documents`.
  std::vector<Document> documents;
  std::vector<DriveOrder> orders;
};

/// What a gateway knows of one server that it drives.
struct DriveReport {
  ServerId server;
  FencingToken token = 0;
  bool healthy = false;  ///< The server confirmed a grant recently.
  bool lapsed = false;   ///< It holds nothing, and gets nothing by this token.
  std::uint64_t aligned = 0;  ///< Cursor that its confirmed grant accords with.
  double load = 0;            ///< Mean of busy slots since the last report.
};

/// How often one key was asked for since the last report.
struct KeyCount {
  ServiceName service;
  std::uint64_t hash = 0;
  std::uint64_t count = 0;
};

/// Work done on one slot since the last report, in slot-microseconds.
struct SlotLoad {
  ServiceName service;
  SlotIndex slot = 0;
  std::int64_t busy_us = 0;
};

/// Gateway to placer, the answer to each beat.
struct Report {
  HostId gateway;
  std::uint64_t incarnation = 0;
  bool eligible = false;  ///< Up long enough to follow a placer.
  bool leaving = false;   ///< It is about to stop and wants no drives.
  HostId bound_to;        ///< The placer it follows; empty if none.
  Term bound_term;
  Term highest_term;
  std::int64_t clock = 0;  ///< Gateway's clock when sent, microseconds.
  std::int64_t echo = 0;   ///< The beat's clock, microseconds.
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  std::uint64_t config_version = 0;
  std::vector<DriveReport> drives;
  std::vector<Document> documents;
  std::vector<KeyCount> hot_keys;
  std::vector<SlotLoad> loads;
  nlohmann::json account;  ///< Absolute totals; null if unchanged.
};

auto to_json(nlohmann::json& json, const Beat& beat) -> void;
auto from_json(const nlohmann::json& json, Beat& beat) -> void;
auto to_json(nlohmann::json& json, const Report& report) -> void;
auto from_json(const nlohmann::json& json, Report& report) -> void;

}  // namespace currantbeam
