#include "policy/retry_budget.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// Part of the limits that is given out, as hosts do not count together.
constexpr double kPartGivenOut = 0.8;
/// A retry can be saved up however many hosts share the burst.
constexpr double kLeastSaved = 1;

}  // namespace

auto RetryLimits::PerHost(int hosts) const -> RetryLimits {
  return {this->share * kPartGivenOut, this->burst * kPartGivenOut / hosts};
}

auto RetryBudget::SetLimits(const RetryLimits& limits) -> void {
  this->tokens += std::max(limits.burst - this->limits.burst, 0.0);
  this->limits = limits;
  this->Trim();
}

auto RetryBudget::OnRequest() -> void {
  this->tokens += this->limits.share;
  this->Trim();
}

auto RetryBudget::Trim() -> void {
  this->tokens =
      std::min(this->tokens, std::max(this->limits.burst, kLeastSaved));
}

auto RetryBudget::TryRetry() -> bool {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

}  // namespace currantbeam
