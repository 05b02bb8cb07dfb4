#include "router/request_forwarder.h"

#include "core/events.h"
#include "router/forwarded_request.h"

namespace currantbeam {

auto ForwardingState::BudgetOf(const ServiceName& service) -> RetryBudget& {
  return this->budgets
      .try_emplace(service, this->retry_share, this->retry_burst)
      .first->second;
}

auto RequestForwarder::Handle(HttpExchange& exchange) -> void {
  ForwardedRequest(this->state, exchange).Run();
}

auto RequestForwarder::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, "what=\"" + what + "\"");
}

}  // namespace currantbeam
