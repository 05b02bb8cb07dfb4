#pragma once

#include <functional>
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
  /// @param unreachable_at  returns the latest time at which the store is known
  ///   to have been unreachable.
  BackendsListener(const StoreSchema& schema, BackendDirectory& directory,
                   UnreachableAt unreachable_at)
      : schema(schema),
        directory(directory),
        unreachable_at(std::move(unreachable_at)) {}

  auto OnRow(const StoreRow& row) -> void override;
  auto OnRemoved(const std::string& key) -> void override;
  auto OnSynced() -> void override;
  auto OnReachable(bool reachable) -> void override;
  auto OnRollback() -> void override { this->directory.OnRollback(); }
  /// @return whether the whole table has been read at least once.
  [[nodiscard]] auto IsCurrent() const -> bool { return this->is_current; }

 private:
  const StoreSchema& schema;
  BackendDirectory& directory;
  UnreachableAt unreachable_at;
  std::set<std::string> unreadable;  ///< Keys of invalid rows; logged once.
  bool is_current = false;
};

}  // namespace currantbeam
