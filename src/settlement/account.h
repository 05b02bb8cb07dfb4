#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "core/core.h"

namespace currantbeam {

/// Who drew capacity of which server for which class of work.
struct AccountKey {
  NeighbourName neighbour;
  ClassName work;
  ServerId server;

  friend auto operator<(const AccountKey& a, const AccountKey& b) -> bool {
    return std::tie(a.neighbour, a.work, a.server) <
           std::tie(b.neighbour, b.work, b.server);
  }
};

/// What was drawn.
struct AccountEntry {
  std::uint64_t requests = 0;
  Duration slot_time{0};  ///< Slots times the time they were taken up.
};

/// The capacity drawn through one run of one gateway. Totals are absolute, so
/// storing an account twice does no harm; accounts of different runs add up.
class Account {
 public:
  auto Add(const AccountKey& key, Duration slot_time) -> void;
  /// Adds the totals of another run.
  auto Merge(const Account& other) -> void;
  [[nodiscard]] auto Entries() const
      -> const std::map<AccountKey, AccountEntry>& {
    return this->entries;
  }
  [[nodiscard]] auto Total() const -> Duration;
  /// @return a count of changes, to tell whether there is news.
  [[nodiscard]] auto Changes() const -> std::uint64_t { return this->changes; }

  friend auto to_json(nlohmann::json& json, const Account& account) -> void;
  friend auto from_json(const nlohmann::json& json, Account& account) -> void;

 private:
  std::map<AccountKey, AccountEntry> entries;
  std::uint64_t changes = 0;
};

}  // namespace currantbeam
