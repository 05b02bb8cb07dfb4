#pragma once

#include <string>
#include <vector>

#include "keys/owner_versions.h"
#include "store/table_update.h"

namespace currantbeam {

/// What the keeper tells a gateway in answer to its report.
struct LoadReportReply {
  int host_count = 0;  ///< That report to the keeper, itself included.
  /// Of the owners that the keeper works on.
  OwnerVersions owner_versions;
  /// What is new in the tables that the gateway follows.
  std::vector<TableUpdate> table_updates;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is no advice.
  static auto Decode(const std::string& text) -> LoadReportReply;
};

}  // namespace currantbeam
