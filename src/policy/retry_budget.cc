#include "policy/retry_budget.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// Fraction of the fleet's limits that is distributed among the hosts. Hosts
/// count independently of each other, so some margin is kept.
constexpr double kDistributedRatio = 0.8;
/// Every host can accumulate one retry, however many hosts share the burst.
constexpr double kMinBurst = 1;

}  // namespace

auto RetryLimits::PerHost(int hosts) const -> RetryLimits {
  return {this->ratio * kDistributedRatio,
          this->burst * kDistributedRatio / hosts};
}

auto RetryBudget::SetLimits(const RetryLimits& limits) -> void {
  this->tokens += std::max(limits.burst - this->limits.burst, 0.0);
  this->limits = limits;
  this->CapTokens();
}

auto RetryBudget::OnRequest() -> void {
  this->tokens += this->limits.ratio;
  this->CapTokens();
}

auto RetryBudget::CapTokens() -> void {
  this->tokens =
      std::min(this->tokens, std::max(this->limits.burst, kMinBurst));
}

auto RetryBudget::TryRetry() -> bool {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

}  // namespace currantbeam
