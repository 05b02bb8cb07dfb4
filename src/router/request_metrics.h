#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "metrics/metrics.h"
#include "router/attempt_outcome.h"

namespace currantbeam {

/// The result of a request as its caller sees it.
enum class RequestResult {
  kAnswered,   ///< A server's response was sent, perhaps incomplete.
  kRefused,    ///< The request was not run.
  kFailed,     ///< The request may have run, or has no route.
  kAbandoned,  ///< The caller disconnected first.
};

/// The counters and latency histograms of the requests that a host forwards.
/// To be used from one loop.
class RequestMetrics {
 public:
  /// Records a request that has ended.
  /// @param took  from its arrival to its end.
  auto OnRequest(const ServiceName& service, RequestResult result,
                 Duration took) -> void;
  auto OnRefusal(std::string_view reason) -> void;
  /// Records an attempt. Servers beyond a limit are counted together, under
  /// the label `other`.
  auto OnAttempt(const ServiceName& service, const ServerId& server,
                 AttemptOutcome outcome) -> void;

  /// Appends the counters and histograms in the text exposition format.
  auto AppendTo(std::string& text) const -> void;

 private:
  struct Service {
    std::map<RequestResult, std::uint64_t> results;
    LatencyHistogram latency;
  };
  struct Server {
    ServiceName service;
    /// The number of attempts, indexed by AttemptOutcome.
    std::array<std::uint64_t, kAttemptOutcomeCount> outcomes{};
  };

  std::map<ServiceName, Service> services;
  std::map<std::string, std::uint64_t, std::less<>> refusals;
  std::unordered_map<ServerId, Server> servers;
};

}  // namespace currantbeam
