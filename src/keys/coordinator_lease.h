#pragma once

#include <optional>
#include <string>

#include "store/store.h"

namespace currantbeam {

/// The lease on the duty of granting keys: a row in the store that one host
/// at a time holds. Its end is a time of the store's clock, so a host that
/// takes over need not wait for longer than the lease had left.
class CoordinatorLease {
 public:
  struct Options {
    std::string holder;    ///< Unique to this process.
    std::string endpoint;  ///< Where the holder takes reports.
    Duration duration = std::chrono::seconds(4);
    /// Part of the lease in which the holder no longer relies on it.
    Duration margin = std::chrono::milliseconds(300);
    /// How long a free lease is left to others first.
    Duration yield_delay{0};
  };

  /// @param clock  counts time in which the process is suspended, too.
  CoordinatorLease(StoreClient& store, const Clock& clock, Options options)
      : store(store), clock(clock), options(std::move(options)) {}

  /// Takes or renews the lease if nobody else holds it.
  /// @return when to call this again.
  auto Step() -> Duration;
  /// Gives the lease up, so that another host takes it at once.
  auto Resign() -> void;
  /// @return whether this process holds the lease for sure, right now.
  [[nodiscard]] auto IsHeld() const -> bool {
    return this->clock.Now() < this->held_until;
  }
  /// @return how long this process still holds the lease for sure; not above
  ///   zero if it does not.
  [[nodiscard]] auto Remaining() const -> Duration {
    return this->held_until - this->clock.Now();
  }
  /// @return the row under which writes of the holder are made.
  [[nodiscard]] auto Condition() const -> RowCondition;
  /// @return where the holder takes reports, as far as known; may be empty.
  [[nodiscard]] auto HolderEndpoint() const -> std::string {
    return this->record ? this->record->endpoint : std::string();
  }
  /// Counts the times that this process took the lease from nothing.
  [[nodiscard]] auto Term() const -> int { return this->term; }

 private:
  /// What the row says.
  struct Record {
    std::string holder;
    std::string endpoint;
    Duration expires_at{0};  ///< On the store's clock.
  };

  auto ReadLease() -> Duration;
  auto NextRetryDelay() -> Duration;
  /// @return whether others have had their time to take the free lease.
  auto HasYielded() -> bool;
  auto AcquireOrRenew() -> Duration;
  auto OnAcquired(TimePoint sent_at, Duration store_time) -> void;
  [[nodiscard]] auto MinStoreTime(TimePoint at) const -> Duration;
  [[nodiscard]] auto Encode(Duration expires_at) -> std::string;
  static auto Decode(const std::string& text) -> std::optional<Record>;
  auto ParseRow(const StoreRow& row) -> void;

  /// After a call without success; twice as long after each further one, as
  /// all hosts ask while the store is away.
  static constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(200);
  static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1600);

  StoreClient& store;
  const Clock& clock;
  Options options;
  StoreVersion version = 0;
  std::optional<Record> record;
  TimePoint
      store_time_requested_at{};  ///< When the answer below was asked for.
  TimePoint store_time_received_at{};
  Duration store_time{0};
  TimePoint held_until{};
  std::optional<TimePoint> free_since;  ///< When it was first seen free.
  Duration retry_delay = kInitialRetryDelay;
  std::uint64_t write_count = 0;
  int term = 0;
};

}  // namespace currantbeam
