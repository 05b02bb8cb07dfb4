#include "settlement/account.h"

namespace currantbeam {

auto Account::Add(const AccountKey& key, Duration slot_time) -> void {
  auto& entry = this->entries[key];
  ++entry.requests;
  entry.slot_time += slot_time;
  ++this->change_count;
}

auto Account::Merge(const Account& other) -> void {
  for (const auto& [key, added] : other.entries) {
    auto& entry = this->entries[key];
    entry.requests += added.requests;
    entry.slot_time += added.slot_time;
  }
  ++this->change_count;
}

auto Account::Total() const -> Duration {
  Duration total{0};
  for (const auto& [key, entry] : this->entries) total += entry.slot_time;
  return total;
}

auto to_json(nlohmann::json& json, const Account& account) -> void {
  json = nlohmann::json::array();
  for (const auto& [key, entry] : account.entries) {
    json.push_back({key.neighbour, key.class_name, key.server, entry.requests,
                    entry.slot_time.count()});
  }
}

auto from_json(const nlohmann::json& json, Account& account) -> void {
  account.entries.clear();
  for (const auto& row : json) {
    AccountKey key;
    row.at(0).get_to(key.neighbour);
    row.at(1).get_to(key.class_name);
    row.at(2).get_to(key.server);
    auto& entry = account.entries[key];
    row.at(3).get_to(entry.requests);
    entry.slot_time = Duration(row.at(4).get<std::int64_t>());
  }
}

}  // namespace currantbeam
