#include "backends/backend_target.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

/// Weight of the newest response in the average latency of a server.
constexpr double kNewestWeight = 0.15;
/// Without requests in flight, a server is expected to recover: this long after
/// its last response, its latency has moved halfway to the typical one.
constexpr auto kIdleHalfLife = std::chrono::seconds(2);
/// Expected latency of a server without responses, as a fraction of the typical
/// one. Below 1, so that new servers are tried.
constexpr double kUntriedLatencyFactor = 0.7;
/// The limit decreases at most once per interval.
constexpr auto kDecreaseInterval = std::chrono::milliseconds(150);
constexpr double kRefusedDecreaseFactor = 0.7;
constexpr double kSlowDecreaseFactor = 0.9;
/// An average latency above this fraction of the latency target indicates that
/// requests queue at the server.
constexpr double kSlowTargetRatio = 0.8;
constexpr double kMinLimit = 0.1;
/// Requests in flight per slot from one gateway.
constexpr double kMaxInFlightPerSlot = 2.0;
/// Requests in flight per slot from all gateways, if each is at its limit.
/// High, because the gateways send uneven shares of a server's requests.
constexpr double kMaxFleetInFlightPerSlot = 36.0;
constexpr int kConsecutiveFailuresToEject = 3;
constexpr auto kBaseEjectionTime = std::chrono::milliseconds(500);
/// Longer than the entry of a stopped server remains in the store.
constexpr auto kReplacedEjectionTime = std::chrono::seconds(10);
constexpr auto kMaxEjectionTime = std::chrono::seconds(4);
/// Short, as the server may only have been full.
constexpr auto kUnconfirmedEjectionTime = std::chrono::milliseconds(500);
constexpr auto kMaxPause = std::chrono::minutes(5);

}  // namespace

BackendLoad::BackendLoad(int slots, std::shared_ptr<TypicalLatency> typical,
                         TimePoint now)
    : slots(std::max(slots, 1)),
      max_limit(kMaxInFlightPerSlot * this->slots),
      limit(this->slots),
      typical(std::move(typical)),
      last_decrease(now - kDecreaseInterval),
      last_response(now),
      ejected_until(now),
      paused_until(now) {}

auto BackendLoad::ExpectedLatency(TimePoint now) const -> Duration {
  const auto idle = std::max(now - this->last_response, Duration(0));
  const auto typical_us = static_cast<double>(this->typical->Value().count());
  double expected_us =
      this->latency_us.value_or(kUntriedLatencyFactor * typical_us);
  if (this->in_flight == 0 && expected_us > typical_us) {
    const double half_lives =
        static_cast<double>(idle.count()) /
        static_cast<double>(Duration(kIdleHalfLife).count());
    expected_us =
        typical_us + (expected_us - typical_us) / (1 + half_lives * half_lives);
  }
  const double queued =
      static_cast<double>(this->in_flight) / static_cast<double>(this->slots);
  return Duration(static_cast<std::int64_t>(expected_us * (1 + queued)));
}

auto BackendLoad::ResponseInterval(TimePoint now) const -> Duration {
  const auto latency = static_cast<double>(this->ExpectedLatency(now).count());
  return Duration(static_cast<std::int64_t>(latency / this->limit));
}

auto BackendLoad::Admit() -> bool {
  if (!this->HasCapacity()) return false;
  if (this->limit >= 1) return true;
  this->credit += this->limit;
  if (this->credit < 1) return false;
  this->credit -= 1;
  return true;
}

auto BackendLoad::SetGatewayCount(int gateways) -> void {
  const bool was_bounded = this->limit >= this->max_limit;
  const double share = kMaxFleetInFlightPerSlot * this->slots / gateways;
  this->max_limit = std::clamp(share, 1.0, kMaxInFlightPerSlot * this->slots);
  // A limit that only the number of gateways kept below its initial value
  // returns to it; a host that starts assumes a large number at first.
  const auto initial = static_cast<double>(this->slots);
  if (was_bounded) this->limit = std::max(this->limit, initial);
  this->limit = std::min(this->limit, this->max_limit);
}

auto BackendLoad::OnResponse(TimePoint now, Duration latency,
                             Duration latency_target) -> void {
  --this->in_flight;
  this->consecutive_failures = 0;
  this->ejection_time = Duration(0);
  this->last_response = now;
  const auto typical_us = static_cast<double>(this->typical->Value().count());
  const double previous_us = this->latency_us.value_or(typical_us);
  const double average_us =
      previous_us +
      kNewestWeight * (static_cast<double>(latency.count()) - previous_us);
  this->latency_us = average_us;
  this->typical->Add(latency);
  const double slow_threshold_us =
      kSlowTargetRatio * static_cast<double>(latency_target.count());
  if (average_us > slow_threshold_us) {
    this->Decrease(now, kSlowDecreaseFactor);
    return;
  }
  const double step = this->limit < 1 ? this->limit : 1 / this->limit;
  this->limit = std::min(this->limit + step, this->max_limit);
}

auto BackendLoad::OnRefused(TimePoint now) -> void {
  --this->in_flight;
  this->Decrease(now, kRefusedDecreaseFactor);
}

auto BackendLoad::OnFailure(TimePoint now) -> void {
  --this->in_flight;
  if (++this->consecutive_failures < kConsecutiveFailuresToEject) return;
  this->ejection_time =
      std::clamp(this->ejection_time * 2, Duration(kBaseEjectionTime),
                 Duration(kMaxEjectionTime));
  this->ejected_until = now + this->ejection_time;
}

auto BackendLoad::OnReplaced(TimePoint now) -> void {
  --this->in_flight;
  this->ejected_until = now + kReplacedEjectionTime;
}

auto BackendLoad::OnUnconfirmed(TimePoint now) -> void {
  this->ejected_until =
      std::max(this->ejected_until, now + kUnconfirmedEjectionTime);
}

auto BackendLoad::OnPaused(TimePoint now, Duration pause) -> void {
  const auto until = now + std::min(pause, Duration(kMaxPause));
  this->paused_until = std::max(this->paused_until, until);
}

auto BackendLoad::Decrease(TimePoint now, double factor) -> void {
  if (now - this->last_decrease < kDecreaseInterval) return;
  this->last_decrease = now;
  this->limit = std::max(kMinLimit, this->limit * factor);
}

}  // namespace currantbeam
