#pragma once

#include <map>
#include <string>
#include <utility>

#include "platform/platform.h"
#include "settlement/settlement.h"

namespace currantbeam {

/// Writes the accounts that gateways report to the platform's table, one row
/// for each run of a gateway. The rows hold absolute totals, so flushing is
/// idempotent.
class AccountStore {
 public:
  AccountStore(PlatformServices& platform, FailureDomain domain,
               std::string writer);

  /// Records the totals of one run of a gateway; the next Flush writes them.
  /// Totals that are lower than the recorded ones are ignored.
  auto Update(const HostId& gateway, std::uint64_t incarnation,
              const Account& account) -> void;
  /// Writes the accounts that have changed since they were last written, up to
  /// a maximum number of rows per call.
  /// @return the number of rows written; 0 if none has changed, the table is
  /// unreachable or the commit was not confirmed.
  auto Flush() -> std::size_t;
  /// @return the sum of the accounts of all gateways in all domains.
  /// @throws PlatformError if the table is unreachable.
  static auto ReadAll(PlatformServices& platform) -> Account;

 private:
  struct Entry {
    Account account;
    std::uint64_t row_version = 0;
    bool dirty = false;
    bool version_known = false;
  };
  /// Reads the versions of the rows whose version is unknown, as after a commit
  /// that was not confirmed.
  /// @throws PlatformError if the table is unreachable.
  auto LoadRowVersions() -> void;

  PlatformServices& platform;
  FailureDomain domain;
  std::string writer;
  std::uint64_t operation_count = 0;
  std::map<std::string, Entry> entries;  ///< By row key.
};

}  // namespace currantbeam
