#pragma once

#include <functional>
#include <optional>
#include <set>

#include "router/store_schema.h"

namespace currantbeam {

/// Passes on each version of the routes that is valid and newer than the last.
class RoutesListener : public TableListener {
 public:
  using OnRoutes = std::function<void(RouteConfig)>;
  RoutesListener(const StoreSchema& schema, OnRoutes on_routes)
      : schema(schema), on_routes(std::move(on_routes)) {}

  auto OnRow(const StoreRow& row) -> void override;
  auto OnRemoved(const std::string& /*key*/) -> void override {}
  auto OnSynced() -> void override {}
  auto OnReachable(bool reachable) -> void override;

 private:
  const StoreSchema& schema;
  OnRoutes on_routes;
  std::uint64_t version = 0;
};

/// Applies changes of the backends table to the BackendDirectory.
class BackendsListener : public TableListener {
 public:
  using UnreachableAt = std::function<TimePoint()>;
  using UpSince = std::function<std::optional<TimePoint>()>;
  /// @param unreachable_at  returns the latest time at which the store is known
  ///   to have been unreachable for this host.
  /// @param up_since  returns since when the store is known to have answered
  ///   this host or others, if that is known.
  BackendsListener(const StoreSchema& schema, BackendDirectory& directory,
                   UnreachableAt unreachable_at, UpSince up_since)
      : schema(schema),
        directory(directory),
        unreachable_at(std::move(unreachable_at)),
        up_since(std::move(up_since)) {}

  auto OnRow(const StoreRow& row) -> void override;
  auto OnRemoved(const std::string& key) -> void override;
  auto OnSynced() -> void override;
  auto OnReachable(bool reachable) -> void override;
  auto OnRollback() -> void override { this->directory.OnRollback(); }
  /// Removes the servers whose grace period has ended, also because another
  /// host knows that the store has answered all the time, and uses entries that
  /// were held back for long enough. To be called periodically.
  auto ApplyTimeouts() -> void;
  /// @return whether the whole table has been read at least once.
  [[nodiscard]] auto IsCurrent() const -> bool { return this->is_current; }

 private:
  /// Passes on since when the store has answered.
  auto UpdateUpSince() -> void;

  const StoreSchema& schema;
  BackendDirectory& directory;
  UnreachableAt unreachable_at;
  UpSince up_since;
  std::set<std::string> unreadable;  ///< Keys of invalid rows; logged once.
  bool is_current = false;
};

}  // namespace currantbeam
