#include "router/request_forwarder.h"

#include "core/events.h"
#include "router/forwarded_request.h"

namespace currantbeam {

auto ForwardingState::RetryBudgetFor(const ServiceName& service)
    -> RetryBudget& {
  return this->retry_budgets.try_emplace(service, this->retry_limits)
      .first->second;
}

auto ForwardingState::SetRetryLimits(const RetryLimits& limits) -> void {
  this->retry_limits = limits;
  for (auto& [service, budget] : this->retry_budgets) budget.SetLimits(limits);
}

auto RequestForwarder::Handle(HttpExchange& exchange) -> void {
  ForwardedRequest(this->state, exchange).Run();
}

auto RequestForwarder::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"what", what}});
}

}  // namespace currantbeam
