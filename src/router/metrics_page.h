#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "http/http.h"

namespace currantbeam {

/// What a host believes at the moment, for its metrics.
struct HostGauges {
  bool is_ready = false;
  bool is_keeper = false;
  std::uint64_t routes_version = 0;
  Duration routes_age{0};  ///< Since the version came into force here.
  /// Since each table of the store was last seen to be as it is known here.
  std::map<std::string, Duration> table_ages;
  std::size_t servers = 0;  ///< That are known.
  int hosts = 0;            ///< Among which the limits are shared.
  std::size_t in_hand = 0;  ///< Requests of callers.
  std::uint64_t dropped_log_lines = 0;
};

/// Says what can be read at a host's metrics address.
class MetricsSource {
 public:
  virtual ~MetricsSource() = default;
  /// Appends counts and histograms in the text exposition format.
  virtual auto AppendMetrics(std::string& text) const -> void = 0;
};

/// Appends the gauges in the text exposition format.
auto AppendGauges(std::string& text, const HostGauges& gauges) -> void;

/// Serves the metrics of a host, whatever path is asked for.
class MetricsPage : public HttpHandler {
 public:
  explicit MetricsPage(const MetricsSource& source) : source(source) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  const MetricsSource& source;
};

}  // namespace currantbeam
