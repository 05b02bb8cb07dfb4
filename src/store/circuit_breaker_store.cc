#include "store/circuit_breaker_store.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr Duration kInitialInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxInterval = std::chrono::milliseconds(500);
/// Pause after a call that failed by its timeout, which may exceed the
/// interval.
constexpr Duration kMinPause = std::chrono::milliseconds(100);

}  // namespace

auto CircuitBreakerStore::Read(const std::string& table,
                               const std::string& partition) -> RowBatch {
  return this->Guard([&] { return this->store.Read(table, partition); }, table,
                     Duration(0));
}

auto CircuitBreakerStore::Follow(const std::string& table, StoreVersion after,
                                 std::chrono::milliseconds wait) -> RowBatch {
  // A probe must not wait for a change, as its response closes the breaker.
  const auto max_wait = this->IsOpen() ? std::chrono::milliseconds(0) : wait;
  return this->Guard([&] { return this->store.Follow(table, after, max_wait); },
                     table, max_wait);
}

auto CircuitBreakerStore::Write(const StoreWrite& write) -> WriteResult {
  auto result = this->store.Write(write);
  const bool has_responded = result.outcome == WriteOutcome::kWritten ||
                             result.outcome == WriteOutcome::kConflict;
  if (has_responded) this->OnResponse();
  return result;
}

auto CircuitBreakerStore::UnreachableAt() const -> TimePoint {
  if (!this->is_probing) return this->unreachable_at;
  return std::max(this->unreachable_at, this->probe_sent_at);
}

auto CircuitBreakerStore::Guard(const Call& call, const std::string& table,
                                Duration wait) -> RowBatch {
  const bool is_probe = this->IsOpen();
  if (is_probe &&
      (this->is_probing || this->clock.Now() < this->next_probe_at)) {
    throw StoreError("store: not called again yet after a failed call");
  }
  const auto sent_at = this->clock.Now();
  if (is_probe) {
    this->is_probing = true;
    this->probe_sent_at = sent_at;
  }
  try {
    auto batch = call();
    if (is_probe) this->is_probing = false;
    this->OnResponse();
    return batch;
  } catch (const HistoryLost&) {
    if (is_probe) this->is_probing = false;
    this->OnResponse();
    throw;
  } catch (const StoreError& error) {
    Log(events::kStoreCallFailed,
        {{"table", table},
         {"wait_ms", Milliseconds(wait)},
         {"took_ms", Milliseconds(this->clock.Now() - sent_at)},
         {"error", error.what()}});
    if (is_probe) this->is_probing = false;
    if (dynamic_cast<const ResponseCutShort*>(&error) != nullptr) {
      this->OnResponse();
      throw;
    }
    this->OnUnreachable(sent_at, wait);
    // Calls that were in flight when the breaker opened don't count again.
    if (is_probe || !this->IsOpen()) this->OnFailure(sent_at);
    throw;
  }
}

auto CircuitBreakerStore::OnUnreachable(TimePoint sent_at, Duration wait)
    -> void {
  const auto now = this->clock.Now();
  // A call that failed before its response was due shows when the store was
  // unreachable. The response to any other call may have been lost at any time.
  const auto at = now < sent_at + wait ? now : sent_at;
  this->unreachable_at = std::max(this->unreachable_at, at);
}

auto CircuitBreakerStore::OnFailure(TimePoint sent_at) -> void {
  this->interval =
      std::min(std::max(2 * this->interval, kInitialInterval), kMaxInterval);
  this->next_probe_at =
      std::max(sent_at + this->interval, this->clock.Now() + kMinPause);
}

}  // namespace currantbeam
