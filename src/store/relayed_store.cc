#include "store/relayed_store.h"

#include <algorithm>

#include "runtime/runtime.h"

namespace currantbeam {
namespace {

/// How long a host that starts waits to be told a table by another one.
constexpr auto kFirstNews = std::chrono::milliseconds(300);
/// The leading host hears from the store at least this often, as the others
/// rely on it.
constexpr auto kLeadingWait = std::chrono::milliseconds(500);
/// A host that hears nothing from the leading one looks for it again after
/// this.
constexpr auto kAloneWait = std::chrono::milliseconds(2000);

/// Lets others cut a timer short while this exists.
class Waiting {
 public:
  Waiting(boost::asio::steady_timer*& place, boost::asio::steady_timer& timer)
      : place(place) {
    this->place = &timer;
  }
  ~Waiting() { this->place = nullptr; }
  Waiting(const Waiting&) = delete;
  auto operator=(const Waiting&) -> Waiting& = delete;

 private:
  boost::asio::steady_timer*& place;
};

}  // namespace

RelayedStore::RelayedStore(StoreClient& store, const Clock& clock,
                           const std::vector<std::string>& tables)
    : store(store), clock(clock) {
  for (const auto& table : tables) {
    this->tables.emplace(table, Shared{RelayedTable(table)});
  }
}

auto RelayedStore::Read(const std::string& table, const std::string& partition)
    -> RowBatch {
  const auto it = this->tables.find(table);
  if (it == this->tables.end() || !partition.empty()) {
    return this->store.Read(table, partition);
  }
  auto& shared = it->second;
  shared.table.Forget();
  const auto until = this->clock.Now() + kFirstNews;
  while (!this->is_leading) {
    if (auto whole = shared.table.TakeWhole(this->clock.Now())) {
      return std::move(*whole);
    }
    const auto left = until - this->clock.Now();
    if (left <= Duration(0)) break;
    this->AwaitNews(table, left);
  }
  return this->ReadDirectly(shared, table);
}

auto RelayedStore::ReadDirectly(Shared& shared, const std::string& table)
    -> RowBatch {
  const auto asked = this->clock.Now();
  auto batch = this->store.Read(table, "");
  shared.table.OnRead(batch, asked);
  return batch;
}

auto RelayedStore::Follow(const std::string& table, StoreVersion after,
                          std::chrono::milliseconds wait) -> RowBatch {
  const auto it = this->tables.find(table);
  if (it == this->tables.end()) return this->store.Follow(table, after, wait);
  auto& shared = it->second;
  while (!this->is_leading) {
    if (auto changes = shared.table.TakeChanges(after)) {
      return std::move(*changes);
    }
    const auto left = shared.table.FreshUntil() - this->clock.Now();
    if (left <= Duration(0)) break;
    this->AwaitNews(table, left);
  }
  const std::chrono::milliseconds longest =
      this->is_leading ? kLeadingWait : kAloneWait;
  return this->FollowDirectly(shared, table, after, std::min(wait, longest));
}

auto RelayedStore::FollowDirectly(Shared& shared, const std::string& table,
                                  StoreVersion after,
                                  std::chrono::milliseconds wait) -> RowBatch {
  const auto asked = this->clock.Now();
  auto batch = this->store.Follow(table, after, wait);
  // Without a change the store has waited, and then found none.
  const auto as_of =
      batch.rows.empty() ? std::min(this->clock.Now(), asked + wait) : asked;
  shared.table.OnFollowed(batch, as_of);
  return batch;
}

auto RelayedStore::Write(const StoreWrite& write) -> WriteResult {
  return this->store.Write(write);
}

auto RelayedStore::Versions() const -> std::map<std::string, StoreVersion> {
  std::map<std::string, StoreVersion> versions;
  for (const auto& [name, shared] : this->tables) {
    versions.emplace(name, shared.table.Version());
  }
  return versions;
}

auto RelayedStore::Ages() const -> std::map<std::string, Duration> {
  std::map<std::string, Duration> ages;
  for (const auto& [name, shared] : this->tables) {
    ages.emplace(name, this->clock.Now() - shared.table.AsOf());
  }
  return ages;
}

auto RelayedStore::NewsSince(
    const std::map<std::string, StoreVersion>& versions) const
    -> std::vector<TableUpdate> {
  std::vector<TableUpdate> all;
  for (const auto& [name, version] : versions) {
    const auto it = this->tables.find(name);
    if (it == this->tables.end()) continue;
    auto news = it->second.table.NewsSince(version, this->clock.Now());
    if (news) all.push_back(std::move(*news));
  }
  return all;
}

auto RelayedStore::OnNews(std::vector<TableUpdate> news, TimePoint asked)
    -> void {
  for (auto& one : news) {
    const auto it = this->tables.find(one.table);
    if (it == this->tables.end()) continue;
    auto& shared = it->second;
    const bool has_rows = !one.rows.empty() || one.is_whole;
    shared.table.OnNews(std::move(one), asked);
    if (has_rows && shared.waiting != nullptr) shared.waiting->cancel();
  }
}

auto RelayedStore::AwaitNews(const std::string& table, Duration longest)
    -> void {
  boost::asio::steady_timer timer(FiberLoop::Current().Io(), longest);
  const Waiting waiting(this->tables.at(table).waiting, timer);
  Await([&](auto handler) { timer.async_wait(handler); });
}

}  // namespace currantbeam
