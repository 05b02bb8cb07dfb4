#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "store/relayed_table.h"
#include "store/store_client.h"

namespace currantbeam {

/// The store, read by one host for all: tables that are shared so are asked
/// for in the store only by the host that leads, and by others while they hear
/// nothing new enough from it. Runs on one loop.
class RelayedStore : public StoreClient {
 public:
  /// @param tables  that are shared.
  RelayedStore(StoreClient& store, const Clock& clock,
               const std::vector<std::string>& tables);

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override;
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override;
  auto Write(const StoreWrite& write) -> WriteResult override;

  /// This host reads the store for the others, or no longer does.
  auto SetLeading(bool is_leading) -> void { this->is_leading = is_leading; }
  /// @return the shared tables, and up to which version this host knows them.
  [[nodiscard]] auto Versions() const -> std::map<std::string, StoreVersion>;
  /// @return since when each shared table is known to be as it is known here.
  [[nodiscard]] auto Ages() const -> std::map<std::string, Duration>;
  /// @return what a host is told that knows the tables up to these versions.
  [[nodiscard]] auto NewsSince(
      const std::map<std::string, StoreVersion>& versions) const
      -> std::vector<TableUpdate>;
  /// The leading host answered.
  /// @param asked  when it was asked.
  auto OnNews(std::vector<TableUpdate> news, TimePoint asked) -> void;

 protected:
  /// Waits until there is news of a shared table, or for the time given.
  virtual auto AwaitNews(const std::string& table, Duration longest) -> void;

 private:
  struct Shared {
    RelayedTable table;
    boost::asio::steady_timer* waiting = nullptr;  ///< Cut short by news.
  };

  auto ReadDirectly(Shared& shared, const std::string& table) -> RowBatch;
  auto FollowDirectly(Shared& shared, const std::string& table,
                      StoreVersion after, std::chrono::milliseconds wait)
      -> RowBatch;

  StoreClient& store;
  const Clock& clock;
  std::map<std::string, Shared> tables;
  bool is_leading = false;
};

}  // namespace currantbeam
