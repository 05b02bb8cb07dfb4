#pragma once

#include <map>
#include <string>
#include <utility>

#include "platform/platform.h"
#include "settlement/settlement.h"

namespace currantbeam {

/// Keeps gateways' accounts in the platform's table, one row for each run of a
/// gateway. Totals are absolute, so a repeated flush changes nothing.
class AccountStore {
 public:
  AccountStore(PlatformServices& platform, FailureDomain domain,
               std::string writer);

  /// Notes the newest totals of one run of a gateway.
  auto Update(const HostId& gateway, std::uint64_t incarnation,
              const Account& account) -> void;
  /// Writes what has changed.
  /// @return the number of rows written; none if nothing was, or the table is
  /// out of reach.
  auto Flush() -> std::size_t;
  /// @return the sum over all gateways of all domains.
  /// @throws PlatformError if the table is out of reach.
  static auto ReadAll(PlatformServices& platform) -> Account;

 private:
  struct Entry {
    Account account;
    std::uint64_t row_version = 0;
    bool dirty = false;
    bool version_known = false;
  };
  auto LearnVersions() -> void;

  PlatformServices& platform;
  FailureDomain domain;
  std::string writer;
  std::uint64_t operation = 0;
  std::map<std::string, Entry> entries;  ///< By row key.
};

}  // namespace currantbeam
