#include "placer/config_store.h"

#include <algorithm>
#include <utility>

namespace currantbeam {

static auto to_json(nlohmann::json& json, const ConfigChange& change) -> void {
  json = {{"version", change.version},
          {"author", change.author},
          {"lines", change.lines}};
}

static auto from_json(const nlohmann::json& json, ConfigChange& change)
    -> void {
  json.at("version").get_to(change.version);
  json.at("author").get_to(change.author);
  json.at("lines").get_to(change.lines);
}

namespace {

constexpr const char* kConfigKey = "config";
constexpr const char* kAckPrefix = "ack/";
constexpr std::size_t kMaxHistoryLength = 50;
constexpr int kMaxCommitAttempts = 3;

}  // namespace

ConfigStore::ConfigStore(PlatformServices& platform, std::string writer)
    : platform(platform), writer(std::move(writer)) {}

auto ConfigStore::NextOperation() -> std::string {
  return this->writer + "/config/" + std::to_string(++this->operation_count);
}

auto ConfigStore::ReadStored() -> StoredConfiguration {
  StoredConfiguration stored;
  for (const auto& row : this->platform.ReadRows(kConfigKey)) {
    if (row.key != kConfigKey) continue;
    stored.row_version = row.version;
    stored.configuration = row.value.at("configuration").get<Configuration>();
    stored.history = row.value.at("history").get<std::vector<ConfigChange>>();
  }
  return stored;
}

auto ConfigStore::Read() -> std::optional<Configuration> {
  return this->ReadStored().configuration;
}

auto ConfigStore::History() -> std::vector<ConfigChange> {
  return this->ReadStored().history;
}

auto ConfigStore::Apply(Configuration configuration, std::uint64_t base_version)
    -> ApplyResult {
  auto stored = this->ReadStored();
  const auto current = stored.configuration ? stored.configuration->version : 0;
  ApplyResult result;
  if (current != base_version) {
    result.version = current;
    for (const auto& change : stored.history) {
      if (change.version > base_version) result.newer_changes.push_back(change);
    }
    return result;
  }
  configuration.version = current + 1;
  const auto before = stored.configuration.value_or(Configuration());
  stored.history.push_back({configuration.version, configuration.author,
                            DescribeChanges(before, configuration)});
  if (stored.history.size() > kMaxHistoryLength) {
    stored.history.erase(stored.history.begin());
  }
  TableTransaction transaction;
  transaction.operation_id = this->NextOperation();
  transaction.writes.push_back(
      {kConfigKey,
       stored.row_version,
       {{"configuration", configuration}, {"history", stored.history}}});
  // The operation id makes the commit idempotent, so it can be retried after a
  // lost response.
  for (int i = 0; i < kMaxCommitAttempts; ++i) {
    switch (this->platform.Commit(transaction)) {
      case CommitOutcome::kCommitted:
        result.stored = true;
        result.version = configuration.version;
        return result;
      case CommitOutcome::kConflict:
        return this->Apply(std::move(configuration), base_version);
      case CommitOutcome::kUnknown:
        break;
    }
  }
  throw PlatformError(
      "the platform did not answer: the change may or may not be stored; look "
      "at the history before trying again");
}

auto ConfigStore::Acknowledge(const FailureDomain& domain,
                              std::uint64_t version) -> bool {
  const auto key = kAckPrefix + domain.Value();
  TableTransaction transaction;
  TableRow write{key, 0, {{"version", version}}};
  for (const auto& row : this->platform.ReadRows(key)) {
    if (row.key != key) continue;
    if (row.value.at("version").get<std::uint64_t>() >= version) return true;
    write.version = row.version;
  }
  transaction.operation_id = this->NextOperation();
  transaction.writes.push_back(write);
  return this->platform.Commit(transaction) == CommitOutcome::kCommitted;
}

auto ConfigStore::VersionsInForce() -> std::map<FailureDomain, std::uint64_t> {
  std::map<FailureDomain, std::uint64_t> in_force;
  const std::string prefix = kAckPrefix;
  for (const auto& row : this->platform.ReadRows(prefix)) {
    in_force[FailureDomain(row.key.substr(prefix.size()))] =
        row.value.at("version").get<std::uint64_t>();
  }
  return in_force;
}

}  // namespace currantbeam
