#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// A distribution of latencies, as a histogram with logarithmic bins.
class LatencyDistribution {
 public:
  LatencyDistribution();
  auto Add(Duration latency) -> void;
  auto Merge(const LatencyDistribution& other) -> void;
  /// @param quantile  between 0 and 1; 0.99 for p99.
  /// @return the upper edge of the quantile's bin, at most Max(); zero if the
  ///   distribution is empty.
  [[nodiscard]] auto Quantile(double quantile) const -> Duration;
  [[nodiscard]] auto Max() const -> Duration { return this->max; }
  [[nodiscard]] auto Count() const -> std::uint64_t { return this->count; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram;
  std::uint64_t count = 0;
  Duration max{0};
};

/// Counts and latencies of one stream's requests, in one second or in total.
struct StreamResult {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;  ///< Complete responses with status 200.
  std::uint64_t refused = 0;   ///< Rejected without having been run.
  std::uint64_t failed = 0;    ///< Error responses; may have been run.
  std::uint64_t broken = 0;    ///< No response, or a truncated or wrong one.
  /// From the planned arrival to the response, of answered requests.
  LatencyDistribution latency;
  /// Time in the server's queue, of answered requests that are no stragglers.
  LatencyDistribution short_wait;

  auto Merge(const StreamResult& other) -> void;
};

/// The result of a run of the load tool.
struct LoadResult {
  std::string scenario;
  std::map<std::string, StreamResult> streams;  ///< Totals by stream.
  /// By stream, one entry for each second of planned arrivals.
  std::map<std::string, std::vector<StreamResult>> seconds;
  /// Number of answered requests by backend server.
  std::map<std::string, std::uint64_t> servers;

  auto Merge(const LoadResult& other) -> void;
};

/// @return the result as it is written to a result file.
auto ToJson(const LoadResult& result) -> nlohmann::json;
/// Prints counts, latencies, and a bar chart of the p99 by second for each
/// stream.
auto PrintResult(const LoadResult& result, std::ostream& out) -> void;
/// Prints two results from result files side by side.
/// @throws nlohmann::json::exception if a field is missing from either.
auto PrintComparison(const nlohmann::json& before, const nlohmann::json& after,
                     std::ostream& out) -> void;

}  // namespace currantbeam
