#include "keys/coordinator_lease.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

const RowName kLeaseRow = {"keeper", "", "lease"};
/// Hosts that wait for the same lease try it at different moments.
constexpr auto kSpread = std::chrono::milliseconds(200);
constexpr auto kAfterEnd = std::chrono::milliseconds(20);
constexpr int kRenewalsPerLease = 3;

}  // namespace

auto CoordinatorLease::Step() -> Duration {
  if (this->version != 0 && this->IsHeld()) return this->Renew();
  return this->Look();
}

auto CoordinatorLease::Look() -> Duration {
  const auto asked = this->clock.Now();
  RowBatch batch;
  try {
    batch = this->store.Read(kLeaseRow.table, kLeaseRow.partition);
  } catch (const StoreError&) {
    return this->NextRetry();
  }
  this->retry = kFirstRetry;
  this->store_time = batch.store_time;
  this->store_time_seen_at = asked;
  this->store_time_known_at = this->clock.Now();
  this->version = 0;
  this->claim.reset();
  for (const auto& row : batch.rows) {
    if (row.name.key == kLeaseRow.key) this->NoteRow(row);
  }
  const bool is_free = !this->claim || this->claim->until <= batch.store_time ||
                       this->claim->holder == this->options.holder;
  if (is_free && !this->HasYielded()) return this->options.yield;
  if (is_free) return this->Renew();
  this->free_since.reset();
  const auto seed = std::hash<std::string>()(this->options.holder);
  const auto spread = Duration(seed % Duration(kSpread).count());
  return this->claim->until - batch.store_time + kAfterEnd + spread;
}

auto CoordinatorLease::HasYielded() -> bool {
  const auto now = this->clock.Now();
  if (!this->free_since) this->free_since = now;
  return now - *this->free_since >= this->options.yield;
}

auto CoordinatorLease::Renew() -> Duration {
  const auto asked = this->clock.Now();
  const auto until = this->StoreTimeAtLeast(asked) + this->options.length;
  StoreWrite write;
  write.conditions.push_back({kLeaseRow, this->version});
  write.puts.push_back({kLeaseRow, this->Encode(until), 0, false});
  const auto result = this->store.Write(write);
  if (result.outcome == WriteOutcome::kWritten) {
    this->free_since.reset();
    this->version = result.version;
    this->claim = Claim{this->options.holder, this->options.endpoint, until};
    this->Claimed(asked, result.store_time);
    return this->options.length / kRenewalsPerLease;
  }
  if (result.outcome == WriteOutcome::kConflict) {
    // Either another host was faster, or a write of our own came through
    // without an answer; the next look tells.
    this->version = 0;
    return Duration(kAfterEnd);
  }
  // What is left of the lease is used to keep it.
  return this->IsHeld() ? kFirstRetry : this->NextRetry();
}

auto CoordinatorLease::NextRetry() -> Duration {
  const auto retry = this->retry;
  this->retry = std::min(2 * retry, kLongestRetry);
  return retry;
}

auto CoordinatorLease::Claimed(TimePoint asked, Duration store_time) -> void {
  if (!this->IsHeld()) ++this->term;
  this->store_time = store_time;
  this->store_time_seen_at = asked;
  this->store_time_known_at = this->clock.Now();
  this->held_until =
      asked + (this->claim->until - store_time) - this->options.margin;
}

auto CoordinatorLease::Resign() -> void {
  if (this->version == 0 || !this->IsHeld()) return;
  this->held_until = TimePoint{};
  StoreWrite write;
  write.conditions.push_back({kLeaseRow, this->version});
  write.puts.push_back({kLeaseRow, this->Encode(Duration(0)), 0, false});
  this->store.Write(write);
  this->version = 0;
}

auto CoordinatorLease::Condition() const -> RowCondition {
  return {kLeaseRow, this->version};
}

auto CoordinatorLease::StoreTimeAtLeast(TimePoint at) const -> Duration {
  return this->store_time + (at - this->store_time_known_at);
}

auto CoordinatorLease::NoteRow(const StoreRow& row) -> void {
  this->version = row.version;
  this->claim = Decode(row.value);
}

auto CoordinatorLease::Encode(Duration until) -> std::string {
  // The count makes each write differ, so that it can be told from others.
  return nlohmann::json{{"holder", this->options.holder},
                        {"endpoint", this->options.endpoint},
                        {"until_us", until.count()},
                        {"write", ++this->writes}}
      .dump();
}

auto CoordinatorLease::Decode(const std::string& text) -> std::optional<Claim> {
  try {
    const auto json = nlohmann::json::parse(text);
    return Claim{json.at("holder").get<std::string>(),
                 json.at("endpoint").get<std::string>(),
                 Duration(json.at("until_us").get<std::int64_t>())};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace currantbeam
