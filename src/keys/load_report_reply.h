#pragma once

#include <string>
#include <vector>

#include "keys/owner_versions.h"
#include "policy/policy.h"
#include "store/table_update.h"

namespace currantbeam {

/// The active KeyCoordinator's reply to a host's LoadReport.
struct LoadReportReply {
  int host_count = 0;  ///< Hosts that send reports, and the coordinator.
  /// Versions of the owner maps that the coordinator grants from. A host with
  /// an older version reads the map again.
  OwnerVersions owner_versions;
  /// Changes of the store tables in the report that the host doesn't have yet.
  std::vector<TableUpdate> table_updates;
  /// Empty in replies of hosts of an older version.
  QuarantineState quarantine;
  /// The ADDRESS:PORT of some other hosts, different ones in each reply. Empty
  /// in replies of hosts of an older version.
  std::vector<std::string> hosts;
  /// Tables whose changes are too large for a reply; the host asks for them.
  std::vector<TableAnnouncement> announcements;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded reply.
  static auto Decode(const std::string& text) -> LoadReportReply;
};

}  // namespace currantbeam
