#include "policy/retry_budget.h"

#include <algorithm>

namespace currantbeam {

auto RetryBudget::OnRequest() -> void {
  this->tokens = std::min(this->tokens + this->share, this->burst);
}

auto RetryBudget::TryRetry() -> bool {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

}  // namespace currantbeam
