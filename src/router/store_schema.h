#pragma once

#include <optional>

#include "backends/backends.h"
#include "router/route_config.h"
#include "store/store.h"

namespace currantbeam {

/// Where operators and backend servers write in the store, and in what form.
class StoreSchema {
 public:
  virtual ~StoreSchema() = default;

  [[nodiscard]] virtual auto RoutesTable() const -> std::string = 0;
  [[nodiscard]] virtual auto BackendsTable() const -> std::string = 0;
  /// @return the configuration, or nothing if the row holds something else.
  /// @throws InputError if it is a configuration that cannot be read.
  [[nodiscard]] virtual auto DecodeRoutes(const StoreRow& row) const
      -> std::optional<RouteConfig> = 0;
  /// @throws InputError if the row names no usable backend server.
  [[nodiscard]] virtual auto DecodeBackend(const StoreRow& row) const
      -> BackendEntry = 0;
};

}  // namespace currantbeam
