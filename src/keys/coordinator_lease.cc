#include "keys/coordinator_lease.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

const RowName kLeaseRow = {"keeper", "", "lease"};
/// Hosts that wait for the same lease read it at different times: each one
/// waits by up to this longer, depending on its name.
constexpr auto kMaxJitter = std::chrono::milliseconds(200);
constexpr auto kPollAfterExpiry = std::chrono::milliseconds(20);
constexpr int kRenewalsPerLease = 3;
/// How often a free lease is read through other hosts.
constexpr auto kPeerReadInterval = std::chrono::milliseconds(400);
/// While an unknown host may hold the lease, the row is read this often, as
/// that host writes it again.
constexpr auto kLostLeasePollInterval = std::chrono::milliseconds(1000);

}  // namespace

auto CoordinatorLease::FirstStepDelay() -> Duration {
  const bool is_preferred = this->options.yield_delay == Duration(0);
  if (!this->options.is_first_start || is_preferred) return Duration(0);
  // The yield delay counts from now, as the lease is known to be free.
  this->free_since = this->clock.Now();
  return this->options.yield_delay + this->Jitter();
}

auto CoordinatorLease::Jitter() const -> Duration {
  const auto seed = std::hash<std::string>()(this->options.holder);
  return Duration(seed % Duration(kMaxJitter).count());
}

auto CoordinatorLease::Step() -> Duration {
  const bool is_row_known = this->version.number != 0;
  if (is_row_known && this->IsHeld()) return this->AcquireOrRenew();
  return this->ReadLease();
}

auto CoordinatorLease::ReadLease() -> Duration {
  const auto sent_at = this->clock.Now();
  RowBatch batch;
  try {
    batch = this->store.Read(kLeaseRow.table, kLeaseRow.partition);
  } catch (const StoreError&) {
    return this->NextRetryDelay();
  }
  this->retry_delay = kInitialRetryDelay;
  this->store_time = batch.store_time;
  this->store_time_requested_at = sent_at;
  this->store_time_received_at = this->clock.Now();
  this->ObserveEpoch(batch.version.epoch);
  this->version = {batch.version.epoch, 0};
  this->record.reset();
  for (const auto& row : batch.rows) {
    if (row.name.key == kLeaseRow.key) this->ParseRow(row);
  }
  this->first_epoch = this->FirstEpoch();
  const auto lease_remaining = this->LeaseRemaining();
  if (lease_remaining > Duration(0)) {
    this->free_since.reset();
    return lease_remaining + this->Jitter();
  }
  // A host that does not reach the store itself could not renew the lease.
  if (batch.is_from_peer) return Duration(kPeerReadInterval);
  const bool may_acquire = this->IsHeld() || this->HasYielded();
  return may_acquire ? this->AcquireOrRenew() : this->options.yield_delay;
}

auto CoordinatorLease::LeaseRemaining() const -> Duration {
  if (this->IsRecordRolledBack()) return this->LostLeaseRemaining();
  const bool is_free = !this->record ||
                       this->record->expires_at <= this->store_time ||
                       this->record->holder == this->options.holder;
  if (is_free) return Duration(0);
  return this->record->expires_at - this->store_time + kPollAfterExpiry;
}

auto CoordinatorLease::ObserveEpoch(StoreEpoch epoch) -> void {
  if (epoch == this->observed_epoch) return;
  this->has_epoch_changed |= this->epoch_observed_at != TimePoint{};
  this->observed_epoch = epoch;
  this->epoch_observed_at = this->clock.Now();
}

auto CoordinatorLease::IsRecordRolledBack() const -> bool {
  if (this->record) return this->record->epoch != this->observed_epoch;
  const bool is_first_lease =
      this->options.is_first_start && !this->has_epoch_changed;
  return this->observed_epoch != 0 && !is_first_lease;
}

auto CoordinatorLease::FirstEpoch() const -> StoreEpoch {
  if (this->record) return this->record->first_epoch;
  return this->IsRecordRolledBack() ? 0 : this->observed_epoch;
}

auto CoordinatorLease::LostLeaseRemaining() const -> Duration {
  // No other host has acquired the lease since: in this epoch, hosts wait for
  // its whole duration first.
  if (this->IsHeld()) return Duration(0);
  // Leases of earlier epochs were acquired before this one was observed.
  const Duration remaining =
      this->epoch_observed_at + this->options.duration - this->clock.Now();
  return std::min<Duration>(remaining, kLostLeasePollInterval);
}

auto CoordinatorLease::HasYielded() -> bool {
  const auto now = this->clock.Now();
  if (!this->free_since) this->free_since = now;
  return now - *this->free_since >= this->options.yield_delay;
}

auto CoordinatorLease::AcquireOrRenew() -> Duration {
  const auto sent_at = this->clock.Now();
  const auto expires_at = this->MinStoreTime(sent_at) + this->options.duration;
  StoreWrite write;
  write.conditions.push_back({kLeaseRow, this->version});
  write.puts.push_back({kLeaseRow, this->Encode(expires_at), {}, false});
  const auto result = this->store.Write(write);
  if (result.outcome == WriteOutcome::kWritten) {
    this->free_since.reset();
    this->version = result.version;
    this->epoch = result.version.epoch;
    this->record = Record{this->options.holder, this->options.endpoint,
                          expires_at, this->epoch, this->first_epoch};
    this->OnAcquired(sent_at, result.store_time);
    return this->options.duration / kRenewalsPerLease;
  }
  if (result.outcome == WriteOutcome::kConflict) {
    // Either another host acquired the lease, or the response to an earlier
    // write of this host was lost. The next read shows which.
    this->version = StoreVersion();
    return Duration(kPollAfterExpiry);
  }
  // While the lease is held, retries come at the shortest interval.
  return this->IsHeld() ? kInitialRetryDelay : this->NextRetryDelay();
}

auto CoordinatorLease::NextRetryDelay() -> Duration {
  const auto retry_delay = this->retry_delay;
  this->retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
  return retry_delay;
}

auto CoordinatorLease::OnAcquired(TimePoint sent_at, Duration store_time)
    -> void {
  if (!this->IsHeld()) ++this->term;
  this->store_time = store_time;
  this->store_time_requested_at = sent_at;
  this->store_time_received_at = this->clock.Now();
  this->held_until =
      sent_at + (this->record->expires_at - store_time) - this->options.margin;
}

auto CoordinatorLease::Resign() -> void {
  if (this->version.number == 0 || !this->IsHeld()) return;
  this->held_until = TimePoint{};
  StoreWrite write;
  write.conditions.push_back({kLeaseRow, this->version});
  write.puts.push_back({kLeaseRow, this->Encode(Duration(0)), {}, false});
  this->store.Write(write);
  this->version = StoreVersion();
}

auto CoordinatorLease::Condition() const -> RowCondition {
  return {kLeaseRow, this->version};
}

auto CoordinatorLease::MinStoreTime(TimePoint at) const -> Duration {
  return this->store_time + (at - this->store_time_received_at);
}

auto CoordinatorLease::ParseRow(const StoreRow& row) -> void {
  this->version = row.version;
  this->record = Decode(row.value);
}

auto CoordinatorLease::Encode(Duration expires_at) -> std::string {
  // The count makes each written value unique.
  return ToJsonText({{"holder", this->options.holder},
                     {"endpoint", this->options.endpoint},
                     {"until_us", expires_at.count()},
                     {"epoch", this->version.epoch},
                     {"first_epoch", this->first_epoch},
                     {"write", ++this->write_count}});
}

auto CoordinatorLease::Decode(const std::string& text)
    -> std::optional<Record> {
  try {
    const auto json = nlohmann::json::parse(text);
    return Record{json.at("holder").get<std::string>(),
                  json.at("endpoint").get<std::string>(),
                  Duration(json.at("until_us").get<std::int64_t>()),
                  json.value("epoch", StoreEpoch(0)),
                  json.value("first_epoch", StoreEpoch(0))};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace currantbeam
