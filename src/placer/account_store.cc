#include "placer/account_store.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr const char* kAccountPrefix = "account/";
constexpr std::size_t kMaxRowsPerFlush = 64;

}  // namespace

AccountStore::AccountStore(PlatformServices& platform, FailureDomain domain,
                           std::string writer)
    : platform(platform),
      domain(std::move(domain)),
      writer(std::move(writer)) {}

auto AccountStore::Update(const HostId& gateway, std::uint64_t incarnation,
                          const Account& account) -> void {
  const auto key = kAccountPrefix + this->domain.Value() + "/" +
                   gateway.Value() + "/" + std::to_string(incarnation);
  auto& entry = this->entries[key];
  // Reports may arrive out of order; as totals only grow, lower ones are stale.
  if (account.Total() <= entry.account.Total()) return;
  entry.account = account;
  entry.dirty = true;
}

auto AccountStore::LoadRowVersions() -> void {
  const bool all_known =
      std::all_of(this->entries.begin(), this->entries.end(),
                  [](const auto& e) { return e.second.version_known; });
  if (all_known) return;
  const auto prefix = kAccountPrefix + this->domain.Value() + "/";
  for (const auto& row : this->platform.ReadRows(prefix)) {
    const auto found = this->entries.find(row.key);
    if (found != this->entries.end()) {
      found->second.row_version = row.version;
    }
  }
  for (auto& [key, entry] : this->entries) entry.version_known = true;
}

auto AccountStore::Flush() -> std::size_t {
  TableTransaction transaction;
  try {
    this->LoadRowVersions();
  } catch (const PlatformError&) {
    return 0;
  }
  for (auto& [key, entry] : this->entries) {
    if (!entry.dirty || transaction.writes.size() >= kMaxRowsPerFlush) continue;
    transaction.writes.push_back({key, entry.row_version, entry.account});
  }
  if (transaction.writes.empty()) return 0;
  transaction.operation_id =
      this->writer + "/account/" + std::to_string(++this->operation_count);
  const auto written_rows = transaction.writes;
  const auto outcome = this->platform.Commit(transaction);
  for (const auto& row : written_rows) {
    auto& entry = this->entries.at(row.key);
    if (outcome != CommitOutcome::kCommitted) {
      entry.version_known = false;
      continue;
    }
    ++entry.row_version;
    const nlohmann::json current = entry.account;
    entry.dirty = current != row.value;
  }
  return outcome == CommitOutcome::kCommitted ? written_rows.size() : 0;
}

auto AccountStore::ReadAll(PlatformServices& platform) -> Account {
  Account total;
  for (const auto& row : platform.ReadRows(kAccountPrefix)) {
    total.Merge(row.value.get<Account>());
  }
  return total;
}

}  // namespace currantbeam
