#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "ownership/document.h"

namespace currantbeam {

/// Assigns one backend server to the gateway that receives it, which drives the
/// server under this fencing token.
struct DriverAssignment {
  ServerId server;
  FencingToken token = 0;
};

/// Sent by a placer to each gateway once per heartbeat interval and when
/// something changed. The gateway answers with a Report.
struct Heartbeat {
  HostId placer;
  std::uint64_t session = 0;      ///< Identifies one run of the placer.
  std::uint64_t incarnation = 0;  ///< The run of the receiving gateway.
  Term term;
  bool leading = false;    ///< Asks the gateway to follow this placer.
  bool active = false;     ///< A majority follows it: `assignments` are valid.
  bool resync = false;     ///< The report must contain all documents.
  std::int64_t clock = 0;  ///< Placer's clock when sent, microseconds.
  std::int64_t echo = 0;   ///< Latest Report::clock received; 0 if none.
  std::uint64_t cursor = 0;  ///< The sender's cursor, with `documents`.
  std::vector<Document> documents;
  std::vector<DriverAssignment> assignments;
};

/// A gateway's status report on one server that it drives.
struct DrivenServerReport {
  ServerId server;
  FencingToken token = 0;
  bool healthy = false;  ///< The server confirmed a grant recently.
  bool lapsed = false;   ///< Its grants have expired; none follow.
  /// The placer's cursor that the confirmed grant was made from.
  std::uint64_t acked_cursor = 0;
  double load = 0;  ///< Mean of busy slots since the last report.
};

/// Number of requests for one key since the last report.
struct KeyCount {
  ServiceName service;
  std::uint64_t hash = 0;
  std::uint64_t count = 0;
};

/// Time spent on requests for one slot since the last report.
struct SlotLoad {
  ServiceName service;
  SlotIndex slot = 0;
  std::int64_t busy_us = 0;  ///< Sum over requests, also concurrent ones.
};

/// Sent by a gateway to a placer in answer to each Heartbeat.
struct Report {
  HostId gateway;
  std::uint64_t incarnation = 0;
  bool eligible = false;   ///< See PlacerFollower::IsEligible().
  bool leaving = false;    ///< It is stopping and must be assigned no server.
  HostId followed_placer;  ///< The placer it follows; empty if none.
  Term followed_term;
  Term highest_term;
  /// Gateway's clock when sent, microseconds. Higher than in all earlier
  /// reports of this run, because a placer uses it to order them.
  std::int64_t clock = 0;
  std::int64_t echo = 0;  ///< Heartbeat::clock of the heartbeat.
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  std::uint64_t config_version = 0;
  std::vector<DrivenServerReport> driven_servers;
  std::vector<Document> documents;
  std::vector<KeyCount> hot_keys;
  std::vector<SlotLoad> loads;
  nlohmann::json account;  ///< Totals, not differences; null if unchanged.
};

auto to_json(nlohmann::json& json, const Heartbeat& heartbeat) -> void;
auto from_json(const nlohmann::json& json, Heartbeat& heartbeat) -> void;
auto to_json(nlohmann::json& json, const Report& report) -> void;
auto from_json(const nlohmann::json& json, Report& report) -> void;

}  // namespace currantbeam
