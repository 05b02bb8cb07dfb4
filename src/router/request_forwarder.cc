#include "router/request_forwarder.h"

#include <exception>

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
  std::exception_ptr disconnected;
  const bool has_ended = TryStep("request", [&] {
    try {
      ForwardedRequest(this->state, exchange).Run();
    } catch (const RequestError&) {
      disconnected = std::current_exception();
    }
  });
  if (disconnected != nullptr) std::rethrow_exception(disconnected);
  if (has_ended) return;
  if (exchange.HasStarted()) {
    exchange.Abort();
  } else {
    // It may have run at a server.
    exchange.Send(HttpResponse{http::status::bad_gateway, 11});
  }
}

auto RequestForwarder::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"what", what}});
}

}  // namespace currantbeam
