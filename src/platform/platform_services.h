#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "ownership/host_list.h"

namespace currantbeam {

/// The platform was unreachable or rejected the request.
class PlatformError : public Error {
 public:
  using Error::Error;
};

/// The services of the users' platform that this system uses: a table with
/// compare-and-set transactions, a host list, and an object store.
class PlatformServices {
 public:
  virtual ~PlatformServices() = default;

  /// @return a consistent snapshot of the rows whose key starts with the
  /// prefix.
  /// @throws PlatformError if the table is unreachable.
  virtual auto ReadRows(const std::string& prefix) -> std::vector<TableRow> = 0;
  /// Commits a transaction. Idempotent by its operation id.
  /// @return the outcome; kUnknown if the platform neither confirmed nor
  /// rejected it. Never throws PlatformError.
  virtual auto Commit(const TableTransaction& transaction) -> CommitOutcome = 0;
  /// @return the list of live and leaving hosts, which may be out of date.
  /// @throws PlatformError if the list is unreachable.
  virtual auto ReadHosts() -> HostList = 0;
  /// Stores an object under a name.
  /// @throws PlatformError if the object was not or may not have been stored.
  virtual auto PutObject(const std::string& name, const std::string& data)
      -> void = 0;
  /// @return the object, or nothing if there is none with that name.
  /// @throws PlatformError if the object store is unreachable.
  virtual auto FetchObject(const std::string& name)
      -> std::optional<std::string> = 0;
};

}  // namespace currantbeam
