#pragma once

#include <memory>
#include <unordered_map>

#include "backends/backends.h"
#include "http/http.h"
#include "keys/load_report.h"
#include "policy/policy.h"
#include "router/backend_chooser.h"
#include "router/forwarding_headers.h"
#include "router/owner_directory.h"
#include "router/request_metrics.h"
#include "router/route_table.h"

namespace currantbeam {

/// What requests are forwarded by: shared by all requests of one loop.
struct ForwardingState {
  ForwardingState(const Clock& clock, ForwardingHeaders headers,
                  BackendDirectory& directory, OwnerDirectory& owners,
                  LoadRecorder& loads, FailureDomain domain)
      : clock(clock),
        headers(std::move(headers)),
        directory(directory),
        owners(owners),
        loads(loads),
        chooser(clock, std::move(domain)) {}

  const Clock& clock;
  ForwardingHeaders headers;
  BackendDirectory& directory;
  OwnerDirectory& owners;
  LoadRecorder& loads;
  BackendChooser chooser;
  RetryLimits retry_limits;  ///< Of this host, for each service.
  /// The loop runs late, so that what is ready to be read may be old.
  bool is_late = false;
  std::shared_ptr<const RouteTable> routes;
  TargetSequence sequence;
  RequestMetrics metrics;
  std::unordered_map<ServiceName, RetryBudget> budgets;

  auto BudgetOf(const ServiceName& service) -> RetryBudget&;
  auto SetRetryLimits(const RetryLimits& limits) -> void;
};

/// Takes callers' requests and sends each straight to the backend server that
/// is to run it.
class RequestForwarder : public HttpHandler {
 public:
  explicit RequestForwarder(ForwardingState& state) : state(state) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  ForwardingState& state;
};

}  // namespace currantbeam
