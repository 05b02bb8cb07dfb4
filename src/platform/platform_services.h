#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "ownership/host_list.h"

namespace currantbeam {

/// The platform was out of reach or refused.
class PlatformError : public Error {
 public:
  using Error::Error;
};

/// The platform's services as the system uses them.
class PlatformServices {
 public:
  virtual ~PlatformServices() = default;

  /// @return the rows whose key starts with the prefix, from one instant.
  /// @throws PlatformError if the table is out of reach.
  virtual auto ReadRows(const std::string& prefix) -> std::vector<TableRow> = 0;
  /// Commits a transaction; never throws: no answer is kUnknown.
  virtual auto Commit(const TableTransaction& transaction) -> CommitOutcome = 0;
  /// @return the lagging list of live and leaving hosts.
  /// @throws PlatformError if the list is out of reach.
  virtual auto ReadHosts() -> HostList = 0;
  /// @throws PlatformError if the object was not, or may not have been, kept.
  virtual auto PutObject(const std::string& name, const std::string& data)
      -> void = 0;
  /// @return the object, or nothing if there is none of that name.
  /// @throws PlatformError if the store is out of reach.
  virtual auto FetchObject(const std::string& name)
      -> std::optional<std::string> = 0;
};

}  // namespace currantbeam
