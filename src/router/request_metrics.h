#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "metrics/metrics.h"
#include "router/attempt_end.h"

namespace currantbeam {

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
  struct Server {
    ServiceName service;
    std::array<std::uint64_t, kAttemptEnds>
        ends{};  ///< Attempts by AttemptEnd.
  };

  std::map<ServiceName, Service> services;
  std::map<std::string, std::uint64_t, std::less<>> refusals;
  std::unordered_map<ServerId, Server> servers;
};

}  // namespace currantbeam
