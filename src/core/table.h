#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace currantbeam {

/// A row of the platform's table service. Version 0 means "no such row".
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  nlohmann::json value;
};

/// A condition on a row that a transaction leaves as it is.
struct TableCheck {
  std::string key;
  std::uint64_t version = 0;
};

/// Writes that take effect together, or not at all. Each row must still have
/// the version given. Repeating an operation id does not write twice.
struct TableTransaction {
  std::string operation_id;
  std::vector<TableCheck> checks;
  std::vector<TableRow> writes;
};

enum class CommitOutcome {
  kCommitted,
  kConflict,  ///< A row had another version; nothing was written.
  kUnknown,   ///< No answer: the writes may or may not have taken effect.
};

}  // namespace currantbeam
