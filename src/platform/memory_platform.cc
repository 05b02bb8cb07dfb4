#include "platform/memory_platform.h"

#include <algorithm>

namespace currantbeam {

auto MemoryPlatform::VersionOf(const std::string& key) const -> std::uint64_t {
  const auto found = this->rows.find(key);
  return found == this->rows.end() ? 0 : found->second.version;
}

auto MemoryPlatform::ReadRows(const std::string& prefix)
    -> std::vector<TableRow> {
  std::vector<TableRow> found;
  for (auto it = this->rows.lower_bound(prefix);
       it != this->rows.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    found.push_back(it->second);
  }
  return found;
}

auto MemoryPlatform::Commit(const TableTransaction& transaction)
    -> CommitOutcome {
  if (this->committed_operations.count(transaction.operation_id) != 0) {
    return CommitOutcome::kCommitted;
  }
  const bool checks_hold =
      std::all_of(transaction.checks.begin(), transaction.checks.end(),
                  [this](const TableCheck& check) {
                    return this->VersionOf(check.key) == check.version;
                  });
  const bool writes_hold =
      std::all_of(transaction.writes.begin(), transaction.writes.end(),
                  [this](const TableRow& row) {
                    return this->VersionOf(row.key) == row.version;
                  });
  if (!checks_hold || !writes_hold) return CommitOutcome::kConflict;
  for (const auto& row : transaction.writes) {
    this->rows[row.key] = {row.key, row.version + 1, row.value};
  }
  this->committed_operations.insert(transaction.operation_id);
  return CommitOutcome::kCommitted;
}

auto MemoryPlatform::PutObject(const std::string& name, const std::string& data)
    -> void {
  this->objects[name] = data;
}

auto MemoryPlatform::FetchObject(const std::string& name)
    -> std::optional<std::string> {
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) return std::nullopt;
  return found->second;
}

}  // namespace currantbeam
