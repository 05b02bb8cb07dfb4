#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "platform/platform.h"

namespace currantbeam {

/// One change of the configuration as shown to operators: a line of text for
/// each difference.
struct ConfigChange {
  std::uint64_t version = 0;
  std::string author;
  std::vector<std::string> lines;
};

/// The result of ConfigStore::Apply.
struct ApplyResult {
  bool stored = false;
  std::uint64_t version =
      0;  ///< The stored version, or the newest if rejected.
  std::vector<ConfigChange> newer_changes;  ///< Since the base version.
};

/// The configuration in the platform's table: one row with the newest version
/// and its recent history, changed by compare-and-set on the version.
class ConfigStore {
 public:
  ConfigStore(PlatformServices& platform, std::string writer);

  /// @return the newest configuration, or nothing if none was ever stored.
  /// @throws PlatformError if the table is unreachable.
  auto Read() -> std::optional<Configuration>;
  /// @return the recent changes, oldest first.
  /// @throws PlatformError if the table is unreachable.
  auto History() -> std::vector<ConfigChange>;
  /// Stores a configuration if the newest version is still `base_version`.
  /// @throws PlatformError if the table is unreachable, or if the platform did
  /// not confirm the commit, so that the outcome is unknown.
  auto Apply(Configuration configuration, std::uint64_t base_version)
      -> ApplyResult;

  /// Stores that a failure domain has a version in force.
  /// @return true if this or a later version is stored for the domain, false
  /// if the commit failed or its outcome is unknown.
  /// @throws PlatformError if the table is unreachable.
  auto Acknowledge(const FailureDomain& domain, std::uint64_t version) -> bool;
  /// @return the version in force in each domain that has acknowledged one.
  /// @throws PlatformError if the table is unreachable.
  auto VersionsInForce() -> std::map<FailureDomain, std::uint64_t>;

 private:
  struct StoredConfiguration {
    std::uint64_t row_version = 0;
    std::optional<Configuration> configuration;
    std::vector<ConfigChange> history;
  };
  auto ReadStored() -> StoredConfiguration;
  auto NextOperation() -> std::string;

  PlatformServices& platform;
  std::string writer;
  std::uint64_t operation_count = 0;
};

}  // namespace currantbeam
