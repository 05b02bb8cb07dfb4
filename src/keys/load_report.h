#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/core.h"
#include "policy/policy.h"
#include "store/store_client.h"

namespace currantbeam {

/// The load of one keyed service that one gateway has seen since its last
/// report.
struct ServiceLoad {
  /// Number of requests by stripe, for the stripes with most requests.
  std::map<int, int> requests;
  int other_requests = 0;  ///< Number of requests to all other stripes.
  /// Latencies of some responses of each server, in milliseconds.
  std::map<ServerId, std::vector<int>> latencies_ms;
};

/// A host's report to the KeyCoordinator, sent periodically. The coordinator
/// answers with a LoadReportReply.
struct LoadReport {
  HostId host;
  std::string endpoint;  ///< ADDRESS:PORT for owner updates to the host.
  Duration interval{0};  ///< The time that the report covers.
  std::map<ServiceName, ServiceLoad> services;
  /// The versions of the store tables that the host follows, as far as it has
  /// their changes; by table.
  std::map<std::string, StoreVersion> tables;
  /// Whether the reply may announce rows in place of sending them; false in
  /// reports of hosts of an older version.
  bool accepts_announcements = false;
  /// Empty in reports of hosts of an older version.
  QuarantineState quarantine;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded report.
  static auto Decode(const std::string& text) -> LoadReport;
};

/// Records requests and responses for the next report. Call on one loop only.
class LoadRecorder {
 public:
  auto OnRequest(const ServiceName& service, int stripe) -> void;
  auto OnResponse(const ServiceName& service, const ServerId& server,
                  Duration latency) -> void;
  /// @return a report of everything recorded since the last call.
  auto TakeReport(const HostId& host, const std::string& endpoint,
                  TimePoint now) -> LoadReport;

 private:
  std::map<ServiceName, ServiceLoad> services;
  TimePoint last_report_at{};
};

}  // namespace currantbeam
