#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "backends/backends.h"
#include "http/http.h"
#include "keys/load_report.h"
#include "policy/policy.h"
#include "router/active_requests.h"
#include "router/backend_chooser.h"
#include "router/ended_server_probe.h"
#include "router/forwarding_headers.h"
#include "router/owner_directory.h"
#include "router/request_metrics.h"
#include "router/route_table.h"
#include "router/serving_check.h"
#include "router/suspect_trials.h"
#include "store/store.h"

namespace currantbeam {

/// The dependencies and state that all requests forwarded on one loop share.
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
  RetryLimits retry_limits;  ///< This host's limits, for each service.
  std::shared_ptr<const RouteTable> routes;
  TargetSequence target_sequence;
  RequestMetrics metrics;
  RequestQuarantine quarantine;
  EndedServerProbe ended_server_probe;
  /// What is known of the table of backend servers; null in tests.
  std::function<TableStatus()> servers_status;
  /// Null in tests: every server in the directory counts as serving.
  ServingCheck* serving = nullptr;
  SuspectTrials* trials = nullptr;  ///< Null: suspect requests run at any time.
  ActiveRequests active_requests;
  StopSchedule stop;
  std::unordered_map<ServiceName, RetryBudget> retry_budgets;

  /// @return the retry budget of the service; created on first use.
  auto RetryBudgetFor(const ServiceName& service) -> RetryBudget&;
  /// Sets the limits of existing and future budgets.
  auto SetRetryLimits(const RetryLimits& limits) -> void;
};

/// The handler of callers' requests: forwards each directly to a backend
/// server.
class RequestForwarder : public HttpHandler {
 public:
  explicit RequestForwarder(ForwardingState& state) : state(state) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  ForwardingState& state;
};

}  // namespace currantbeam
