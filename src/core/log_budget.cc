#include "core/log_budget.h"

#include <algorithm>
#include <chrono>

namespace currantbeam {
namespace {

/// Events 300 to 399 are about single requests.
constexpr int kRequestEventGroup = 3;
/// Fraction of the burst that such lines leave to the other events.
constexpr double kSuccessReserveFraction = 0.5;
constexpr double kFailureReserveFraction = 0.25;

auto ReserveFractionOf(const LogEvent& event) -> double {
  if (event.number / 100 != kRequestEventGroup) return 0;
  return event.level >= LogLevel::kWarn ? kFailureReserveFraction
                                        : kSuccessReserveFraction;
}

}  // namespace

LogBudget::LogBudget(const Options& options, TimePoint now)
    : options(options),
      lines(options.lines_per_second * options.burst_seconds),
      bytes(options.bytes_per_second * options.burst_seconds),
      refilled_at(now) {}

auto LogBudget::Admit(const LogEvent& event, TimePoint now) -> bool {
  this->Refill(now);
  const double reserve = ReserveFractionOf(event) * this->options.burst_seconds;
  const bool has_room =
      this->lines >= 1 + reserve * this->options.lines_per_second &&
      this->bytes > reserve * this->options.bytes_per_second;
  if (!has_room) {
    ++this->dropped;
    return false;
  }
  this->lines -= 1;
  return true;
}

auto LogBudget::ChargeBytes(std::size_t bytes) -> void {
  this->bytes -= static_cast<double>(bytes);
}

auto LogBudget::TakeDroppedCount() -> std::uint64_t {
  const auto count = this->dropped;
  this->dropped = 0;
  return count;
}

auto LogBudget::Refill(TimePoint now) -> void {
  const double seconds =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  const auto fill = [&](double& tokens, double rate) {
    tokens =
        std::min(tokens + seconds * rate, rate * this->options.burst_seconds);
  };
  fill(this->lines, this->options.lines_per_second);
  fill(this->bytes, this->options.bytes_per_second);
}

}  // namespace currantbeam
