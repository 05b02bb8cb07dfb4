#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "platform/platform.h"

namespace currantbeam {

/// One change of the configuration, as operators see it.
struct ConfigChange {
  std::uint64_t version = 0;
  std::string author;
  std::vector<std::string> lines;
};

/// What came of an operator's change.
struct ApplyResult {
  bool stored = false;
  std::uint64_t version = 0;        ///< Stored, or the newest one if refused.
  std::vector<ConfigChange> since;  ///< What others changed meanwhile.
};

/// The configuration in the platform's table: one row with the newest version
/// and its recent history, changed by compare-and-set on the version.
class ConfigStore {
 public:
  ConfigStore(PlatformServices& platform, std::string writer);

  /// @return the newest configuration, or nothing if none was ever stored.
  /// @throws PlatformError if the table is out of reach.
  auto Read() -> std::optional<Configuration>;
  /// @throws PlatformError if the table is out of reach.
  auto History() -> std::vector<ConfigChange>;
  /// Stores a configuration if the newest version is still `base_version`.
  /// @throws PlatformError if it cannot be told whether it was stored.
  auto Apply(Configuration configuration, std::uint64_t base_version)
      -> ApplyResult;

  /// Notes that the domain has a version in force.
  /// @return false if that could not be stored.
  auto Acknowledge(const FailureDomain& domain, std::uint64_t version) -> bool;
  /// @return the version in force in each domain that has said so.
  /// @throws PlatformError if the table is out of reach.
  auto InForce() -> std::map<FailureDomain, std::uint64_t>;

 private:
  struct Stored {
    std::uint64_t row_version = 0;
    std::optional<Configuration> configuration;
    std::vector<ConfigChange> history;
  };
  auto ReadStored() -> Stored;
  auto NextOperation() -> std::string;

  PlatformServices& platform;
  std::string writer;
  std::uint64_t operation = 0;
};

}  // namespace currantbeam
