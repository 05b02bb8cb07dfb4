#pragma once

#include "router/make_entry.h"
#include "router/router.h"
#include "store/store.h"

/// @file
/// The times, rows and messages of a FleetSimulation; included by it alone.

namespace currantbeam {

using std::chrono::milliseconds;

constexpr Duration kMessageTime = milliseconds(3);
constexpr Duration kReportInterval = milliseconds(500);
constexpr Duration kReportTimeout = milliseconds(400);
constexpr Duration kReadTimeout = milliseconds(1000);
constexpr Duration kWriteTimeout = milliseconds(800);
constexpr Duration kTaskInterval = milliseconds(200);
constexpr Duration kRequestInterval = milliseconds(100);
constexpr Duration kEndless = std::chrono::hours(1);
constexpr Duration kHealthTime = milliseconds(400);
/// The smallest one of a deployment.
constexpr Duration kDrainBound = milliseconds(2000);
constexpr Duration kBatchDelay = milliseconds(250);
constexpr std::size_t kHostsPerReply = 4;
constexpr double kUnlimitedMbps = 1e6;
inline const char* const kRoutes = "routes";
inline const char* const kBackends = "backends";

/// @return what a host reports as used: of routes their version.
inline auto UsedValue(const std::string& table, const std::string& value)
    -> std::string {
  return table == kRoutes ? std::to_string(std::stoull(value)) : value;
}

/// Rows of backends are "ready" or "draining"; those of routes begin with a
/// version.
class FleetSchema : public StoreSchema {
 public:
  [[nodiscard]] auto RoutesTable() const -> std::string override {
    return kRoutes;
  }
  [[nodiscard]] auto BackendsTable() const -> std::string override {
    return kBackends;
  }
  [[nodiscard]] auto DecodeRoutes(const StoreRow& row) const
      -> std::optional<RouteConfig> override {
    RouteConfig config;
    config.version = std::stoull(row.value);
    return config;
  }
  [[nodiscard]] auto DecodeBackend(const StoreRow& row) const
      -> BackendEntry override {
    auto entry = MakeEntry(row.name.key, 1);
    entry.is_draining = row.value == "draining";
    return entry;
  }
};

/// @return the bytes of a row with this value in a response of the store, which
///   encodes it in base64.
inline auto StoreRowBytes(const std::string& value) -> std::size_t {
  constexpr std::size_t kOtherBytes = 100;
  return kOtherBytes + value.size() * 4 / 3;
}

inline auto ToBatch(TableUpdate update) -> RowBatch {
  RowBatch batch;
  batch.rows = std::move(update.rows);
  batch.version = update.version;
  batch.store_time = update.store_time;
  batch.store_up_for = update.store_up_for;
  batch.age = update.age;
  batch.is_whole_table = update.is_full;
  return batch;
}

class NoServers : public GrantClient {
 public:
  auto Grant(const GrantCall& /*call*/) -> GrantResult override { return {}; }
  auto Release(const KeyOwner& /*owner*/, KeyRange /*keys*/,
               FencingToken /*token*/, milliseconds /*timeout*/)
      -> ReleaseReply override {
    return {};
  }
};

}  // namespace currantbeam
