#include "backends/backend_target.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

/// Weight of the newest answer in the average latency.
constexpr double kLatencyWeight = 0.15;
/// A server that has not answered for this long is expected to have recovered
/// halfway to what is typical.
constexpr auto kForgetHalf = std::chrono::seconds(2);
/// A server that was not tried yet is expected to be this much better than is
/// typical, so that it is tried.
constexpr double kUnseenPart = 0.7;
constexpr auto kDecreaseInterval = std::chrono::milliseconds(150);
constexpr double kRefusedFactor = 0.7;
constexpr double kSlowFactor = 0.9;
/// Multiple of the target beyond which an answer counts as a sign of a queue.
constexpr double kSlowTargets = 0.8;
constexpr double kLeastLimit = 0.1;
/// Requests out at a time for each slot, at the most, from one gateway.
constexpr double kLimitPerSlot = 2.0;
/// Requests out for each slot, from all gateways together, if each sends as
/// many as it may: they get uneven parts of a server's requests.
constexpr double kLimitPerSlotOfAll = 36.0;
constexpr int kFailuresToEject = 3;
constexpr auto kFirstEjection = std::chrono::milliseconds(500);
/// Longer than the entry of a server that has gone stays.
constexpr auto kReplacedEjection = std::chrono::seconds(10);
constexpr auto kLongestEjection = std::chrono::seconds(4);

}  // namespace

BackendLoad::BackendLoad(int slots, std::shared_ptr<TypicalLatency> typical,
                         TimePoint now)
    : slots(std::max(slots, 1)),
      most(kLimitPerSlot * this->slots),
      limit(this->slots),
      typical(std::move(typical)),
      last_decrease(now - kDecreaseInterval),
      last_answer(now),
      ejected_until(now) {}

auto BackendLoad::ExpectedLatency(TimePoint now) const -> Duration {
  const auto silent = std::max(now - this->last_answer, Duration(0));
  const auto usual = static_cast<double>(this->typical->Value().count());
  double expected = this->latency_us.value_or(kUnseenPart * usual);
  if (this->in_flight == 0 && expected > usual) {
    const double halves = static_cast<double>(silent.count()) /
                          static_cast<double>(Duration(kForgetHalf).count());
    expected = usual + (expected - usual) / (1 + halves * halves);
  }
  const double queued =
      static_cast<double>(this->in_flight) / static_cast<double>(this->slots);
  return Duration(static_cast<std::int64_t>(expected * (1 + queued)));
}

auto BackendLoad::AnswerInterval(TimePoint now) const -> Duration {
  const auto latency = static_cast<double>(this->ExpectedLatency(now).count());
  return Duration(static_cast<std::int64_t>(latency / this->limit));
}

auto BackendLoad::Admit() -> bool {
  if (!this->HasRoom()) return false;
  if (this->limit >= 1) return true;
  this->credit += this->limit;
  if (this->credit < 1) return false;
  this->credit -= 1;
  return true;
}

auto BackendLoad::ShareAmong(int gateways) -> void {
  const double part = kLimitPerSlotOfAll * this->slots / gateways;
  this->most = std::clamp(part, 1.0, kLimitPerSlot * this->slots);
  this->limit = std::min(this->limit, this->most);
}

auto BackendLoad::OnAnswer(TimePoint now, Duration latency, Duration target)
    -> void {
  --this->in_flight;
  this->failures_in_row = 0;
  this->ejection = Duration(0);
  this->last_answer = now;
  const auto usual = static_cast<double>(this->typical->Value().count());
  const double before = this->latency_us.value_or(usual);
  const double average =
      before + kLatencyWeight * (static_cast<double>(latency.count()) - before);
  this->latency_us = average;
  this->typical->Add(latency);
  const double slow = kSlowTargets * static_cast<double>(target.count());
  if (average > slow) {
    this->Decrease(now, kSlowFactor);
    return;
  }
  const double step = this->limit < 1 ? this->limit : 1 / this->limit;
  this->limit = std::min(this->limit + step, this->most);
}

auto BackendLoad::OnRefused(TimePoint now) -> void {
  --this->in_flight;
  this->Decrease(now, kRefusedFactor);
}

auto BackendLoad::OnFailure(TimePoint now) -> void {
  --this->in_flight;
  if (++this->failures_in_row < kFailuresToEject) return;
  this->ejection = std::clamp(this->ejection * 2, Duration(kFirstEjection),
                              Duration(kLongestEjection));
  this->ejected_until = now + this->ejection;
}

auto BackendLoad::OnReplaced(TimePoint now) -> void {
  --this->in_flight;
  this->ejected_until = now + kReplacedEjection;
}

auto BackendLoad::Decrease(TimePoint now, double factor) -> void {
  if (now - this->last_decrease < kDecreaseInterval) return;
  this->last_decrease = now;
  this->limit = std::max(kLeastLimit, this->limit * factor);
}

}  // namespace currantbeam
