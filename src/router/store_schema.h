#pragma once

#include <optional>

#include "backends/backends.h"
#include "router/route_config.h"
#include "store/store.h"

namespace currantbeam {

/// The tables in which operators and backend servers publish the routes and the
/// backend entries, and the encoding of their rows.
class StoreSchema {
 public:
  virtual ~StoreSchema() = default;

  [[nodiscard]] virtual auto RoutesTable() const -> std::string = 0;
  [[nodiscard]] virtual auto BackendsTable() const -> std::string = 0;
  /// @return the configuration; nothing if the row holds something else.
  /// @throws InputError if the row holds an invalid configuration.
  [[nodiscard]] virtual auto DecodeRoutes(const StoreRow& row) const
      -> std::optional<RouteConfig> = 0;
  /// @return the entry of a backend server.
  /// @throws InputError if the row is not a valid entry.
  [[nodiscard]] virtual auto DecodeBackend(const StoreRow& row) const
      -> BackendEntry = 0;
};

}  // namespace currantbeam
