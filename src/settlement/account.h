#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

#include "core/core.h"

namespace currantbeam {

/// Identifies the use of capacity: which neighbour used which server for which
/// class of work.
struct AccountKey {
  NeighbourName neighbour;
  ClassName class_name;
  ServerId server;

  friend auto operator<(const AccountKey& a, const AccountKey& b) -> bool {
    return std::tie(a.neighbour, a.class_name, a.server) <
           std::tie(b.neighbour, b.class_name, b.server);
  }
};

/// The capacity used under one AccountKey.
struct AccountEntry {
  std::uint64_t requests = 0;
  Duration slot_time{0};  ///< Number of slots times the time they were held.
};

/// The capacity used through one run of one gateway process. Totals are
/// absolute, so storing an account is idempotent; accounts of different runs
/// are added up.
class Account {
 public:
  /// Adds one request that held its slots for `slot_time`.
  auto Add(const AccountKey& key, Duration slot_time) -> void;
  /// Adds the totals of another run, entry by entry.
  auto Merge(const Account& other) -> void;
  [[nodiscard]] auto Entries() const
      -> const std::map<AccountKey, AccountEntry>& {
    return this->entries;
  }
  /// @return the slot time of all entries.
  [[nodiscard]] auto Total() const -> Duration;
  /// @return the number of changes in this process, to detect whether the
  ///   account has changed since it was last stored.
  [[nodiscard]] auto ChangeCount() const -> std::uint64_t {
    return this->change_count;
  }

  friend auto to_json(nlohmann::json& json, const Account& account) -> void;
  friend auto from_json(const nlohmann::json& json, Account& account) -> void;

 private:
  std::map<AccountKey, AccountEntry> entries;
  std::uint64_t change_count = 0;
};

}  // namespace currantbeam
