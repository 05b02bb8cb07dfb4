#pragma once

#include <optional>
#include <string>

#include "store/store.h"

namespace currantbeam {

/// The lease of the active KeyCoordinator: a row in the store that one host at
/// a time holds. The row states the expiry in the store's time, so another host
/// can acquire the lease as soon as it expires. After a rollback of the store
/// the row may name an earlier holder: the last one then continues its lease in
/// the new epoch, and other hosts wait until any lease of an earlier epoch has
/// expired.
class CoordinatorLease {
 public:
  struct Options {
    std::string holder;    ///< Unique to this process.
    std::string endpoint;  ///< ADDRESS:PORT for reports to the holder.
    Duration duration = std::chrono::seconds(4);
    /// The holder stops relying on the lease this long before it expires.
    Duration margin = std::chrono::milliseconds(300);
    /// How long this host leaves a free lease to other hosts before it acquires
    /// the lease itself. Zero for hosts that are preferred.
    Duration yield_delay{0};
    /// Whether the whole fleet starts for the first time. Hosts that are not
    /// preferred then leave the lease, which is free, to other hosts without
    /// reading it first.
    bool is_first_start = false;
  };

  /// @param clock  has to count the time in which the process is suspended.
  CoordinatorLease(StoreClient& store, const Clock& clock, Options options)
      : store(store), clock(clock), options(std::move(options)) {}

  /// @return the delay until the first call of Step().
  [[nodiscard]] auto FirstStepDelay() -> Duration;
  /// Acquires or renews the lease unless another host holds it. Failures of the
  /// store are retried by the next call.
  /// @return the delay until the next call.
  auto Step() -> Duration;
  /// Releases the lease, so that another host can acquire it at once. Does
  /// nothing if the lease is not held.
  auto Resign() -> void;
  /// @return whether this process certainly holds the lease now.
  [[nodiscard]] auto IsHeld() const -> bool {
    return this->clock.Now() < this->held_until;
  }
  /// @return how long this process will certainly hold the lease; zero or
  ///   negative if it does not hold it.
  [[nodiscard]] auto Remaining() const -> Duration {
    return this->held_until - this->clock.Now();
  }
  /// @return the condition for writes that must fail once another host has
  ///   acquired the lease.
  [[nodiscard]] auto Condition() const -> RowCondition;
  /// @return the endpoint of the last known holder; empty if unknown.
  [[nodiscard]] auto HolderEndpoint() const -> std::string {
    return this->record ? this->record->endpoint : std::string();
  }
  /// @return the epoch of the store in which the lease was last acquired or
  ///   renewed.
  [[nodiscard]] auto Epoch() const -> StoreEpoch { return this->epoch; }
  /// @return whether the store may have lost rows in a rollback since the first
  ///   lease; call while the lease is held.
  [[nodiscard]] auto MayHaveLostRows() const -> bool {
    return this->first_epoch != this->epoch;
  }
  /// @return how many times this process acquired the lease; renewals before
  ///   the expiry don't count.
  [[nodiscard]] auto Term() const -> int { return this->term; }

 private:
  /// The content of the row.
  struct Record {
    std::string holder;
    std::string endpoint;
    Duration expires_at{0};      ///< In the store's time.
    StoreEpoch epoch = 0;        ///< In which the record was written.
    StoreEpoch first_epoch = 0;  ///< In which the first record was written.
  };

  /// Reads the row, and acquires the lease if it is free and the store
  /// responded to this host itself.
  /// @return the delay until the next Step().
  auto ReadLease() -> Duration;
  /// Records the epoch of a response, and when it was first seen.
  auto ObserveEpoch(StoreEpoch epoch) -> void;
  /// @return the time until the next read of a lease that another host holds;
  ///   zero or negative if it is free.
  [[nodiscard]] auto LeaseRemaining() const -> Duration;
  /// @return whether the record that was read, or its absence, is from before a
  ///   rollback of the store.
  [[nodiscard]] auto IsRecordRolledBack() const -> bool;
  /// @return the epoch of the first lease, by the record that was read; 0 if it
  ///   is unknown.
  [[nodiscard]] auto FirstEpoch() const -> StoreEpoch;
  /// @return the time until the next read of a lease that another host may
  ///   hold by a record that the store lost; zero or negative if none can.
  [[nodiscard]] auto LostLeaseRemaining() const -> Duration;
  auto NextRetryDelay() -> Duration;
  /// @return a delay that differs between hosts, so that they don't read the
  ///   same lease at the same time.
  [[nodiscard]] auto Jitter() const -> Duration;
  /// @return whether the free lease was left to other hosts for the yield
  ///   delay.
  auto HasYielded() -> bool;
  auto AcquireOrRenew() -> Duration;
  auto OnAcquired(TimePoint sent_at, Duration store_time) -> void;
  /// @return a lower bound of the store's time at the given time.
  [[nodiscard]] auto MinStoreTime(TimePoint at) const -> Duration;
  [[nodiscard]] auto Encode(Duration expires_at) -> std::string;
  static auto Decode(const std::string& text) -> std::optional<Record>;
  auto ParseRow(const StoreRow& row) -> void;

  /// The delay doubles with each failure, because all hosts retry while the
  /// store is unreachable.
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(200);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);

  StoreClient& store;
  const Clock& clock;
  Options options;
  StoreVersion version;
  std::optional<Record> record;
  TimePoint store_time_requested_at{};  ///< When the request for it was sent.
  TimePoint store_time_received_at{};
  Duration store_time{0};  ///< From the last response of the store.
  TimePoint held_until{};
  std::optional<TimePoint> free_since;  ///< When it was first read as free.
  Duration retry_delay = kInitialRetryDelay;
  std::uint64_t write_count = 0;
  int term = 0;
  StoreEpoch epoch = 0;        ///< Of the last acquisition or renewal.
  StoreEpoch first_epoch = 0;  ///< Of the first lease of all hosts.
  StoreEpoch observed_epoch = 0;
  TimePoint epoch_observed_at{};   ///< When it was first observed.
  bool has_epoch_changed = false;  ///< Since the start of this process.
};

}  // namespace currantbeam
