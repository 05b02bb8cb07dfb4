#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "store/store_client.h"

namespace currantbeam {

/// What one gateway saw of a keyed service since its last report.
struct ServiceLoad {
  /// Requests by stripe, of the stripes that got several.
  std::map<int, int> requests;
  int other_requests = 0;  ///< To all other stripes together.
  /// Latencies of some answers of each server, in milliseconds.
  std::map<ServerId, std::vector<int>> latencies_ms;
};

/// A gateway's report to the keeper of keys.
struct LoadReport {
  HostId host;
  std::string endpoint;  ///< Where the host takes the keeper's updates.
  Duration interval{0};  ///< That the report covers.
  std::map<ServiceName, ServiceLoad> services;
  /// Up to which version the host knows the tables of the store that it
  /// follows.
  std::map<std::string, StoreVersion> tables;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is no report.
  static auto Decode(const std::string& text) -> LoadReport;
};

/// Collects what goes into the next report. One loop.
class LoadRecorder {
 public:
  auto OnRequest(const ServiceName& service, int stripe) -> void;
  auto OnResponse(const ServiceName& service, const ServerId& server,
                  Duration latency) -> void;
  /// @return the report since the last call.
  auto TakeReport(const HostId& host, const std::string& endpoint,
                  TimePoint now) -> LoadReport;

 private:
  std::map<ServiceName, ServiceLoad> services;
  TimePoint last_report_at{};
};

}  // namespace currantbeam
