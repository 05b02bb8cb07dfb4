#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "http/http.h"

namespace currantbeam {

/// The values of a host's gauges at one moment.
struct HostGauges {
  bool is_ready = false;
  bool is_coordinator = false;  ///< Whether the KeyCoordinator is active.
  std::uint64_t routes_version = 0;
  Duration routes_age{0};  ///< Since this version was applied here.
  /// By table of the store: the time since the copy here was last confirmed to
  /// be current.
  std::map<std::string, Duration> table_ages;
  std::size_t servers = 0;    ///< Known backend servers.
  int hosts = 0;              ///< Hosts that share the limits.
  std::size_t in_flight = 0;  ///< Requests of callers in flight.
  std::uint64_t dropped_log_lines = 0;
};

/// Supplies the metrics that MetricsPage serves.
class MetricsSource {
 public:
  virtual ~MetricsSource() = default;
  /// Appends all metrics of the host in the text exposition format.
  virtual auto AppendMetrics(std::string& text) const -> void = 0;
};

/// Appends the gauges in the text exposition format.
auto AppendGauges(std::string& text, const HostGauges& gauges) -> void;

/// Serves the metrics of a host under every path.
class MetricsPage : public HttpHandler {
 public:
  explicit MetricsPage(const MetricsSource& source) : source(source) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  const MetricsSource& source;
};

}  // namespace currantbeam
