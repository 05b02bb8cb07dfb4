#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/platform_services.h"

namespace currantbeam {

/// An in-memory platform for tests and for the stand-in platform.
class MemoryPlatform : public PlatformServices {
 public:
  auto ReadRows(const std::string& prefix) -> std::vector<TableRow> override;
  auto Commit(const TableTransaction& transaction) -> CommitOutcome override;
  auto ReadHosts() -> HostList override { return this->hosts; }
  auto PutObject(const std::string& name, const std::string& data)
      -> void override;
  auto FetchObject(const std::string& name)
      -> std::optional<std::string> override;

  auto SetHosts(HostList hosts) -> void { this->hosts = std::move(hosts); }

 private:
  [[nodiscard]] auto VersionOf(const std::string& key) const -> std::uint64_t;

  std::map<std::string, TableRow> rows;
  std::set<std::string> committed_operations;
  std::map<std::string, std::string> objects;
  HostList hosts;
};

}  // namespace currantbeam
