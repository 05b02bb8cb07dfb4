#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace currantbeam {

/// A row of the platform's table service. Version 0 means that the row doesn't
/// exist.
struct TableRow {
  std::string key;
  std::uint64_t version = 0;
  nlohmann::json value;
};

/// A precondition of a transaction on a row that it doesn't write: the row has
/// this version.
struct TableCheck {
  std::string key;
  std::uint64_t version = 0;
};

/// An atomic compare-and-set of several rows: it is committed only if each row
/// in `checks` and `writes` has the given version. Idempotent: a transaction
/// that repeats the operation id of a committed one writes nothing.
struct TableTransaction {
  std::string operation_id;
  std::vector<TableCheck> checks;
  std::vector<TableRow> writes;
};

enum class CommitOutcome {
  kCommitted,
  kConflict,  ///< A row had another version; nothing was written.
  kUnknown,   ///< No response: the writes may or may not have taken effect.
};

}  // namespace currantbeam
