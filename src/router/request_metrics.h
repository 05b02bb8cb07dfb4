#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "metrics/metrics.h"

namespace currantbeam {

enum class AttemptEnd;

/// How a request ended, as its caller sees it.
enum class RequestResult {
  kAnswered,   ///< The caller got the server's answer, at least its head.
  kRefused,    ///< It has not run.
  kFailed,     ///< It may have run, or there is no route for it.
  kAbandoned,  ///< The caller left first.
};

/// Counts and times the requests that a host forwards. One loop.
class RequestMetrics {
 public:
  auto OnRequest(const ServiceName& service, RequestResult result,
                 Duration took) -> void;
  auto OnRefusal(std::string_view reason) -> void;
  auto OnAttempt(const ServiceName& service, const ServerId& server,
                 AttemptEnd end) -> void;

  /// Appends the counts and histograms in the text exposition format.
  auto AppendTo(std::string& text) const -> void;

 private:
  struct Service {
    std::map<RequestResult, std::uint64_t> results;
    LatencyHistogram latency;
  };
  /// One server's attempts; servers that have gone are dropped in time.
  struct Server {
    ServiceName service;
    std::map<AttemptEnd, std::uint64_t> ends;
  };

  std::map<ServiceName, Service> services;
  std::map<std::string, std::uint64_t, std::less<>> refusals;
  std::map<ServerId, Server> servers;
};

}  // namespace currantbeam
