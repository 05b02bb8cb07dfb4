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

/// Times on a logarithmic scale, in Boost.Histogram.
class Latencies {
 public:
  Latencies();
  auto Add(Duration latency) -> void;
  auto Merge(const Latencies& other) -> void;
  /// @return the time that the share of requests stays within.
  [[nodiscard]] auto Quantile(double share) const -> Duration;
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

/// What came of one stream, in one second or in all.
struct StreamResult {
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;  ///< Told plainly that it was not run.
  std::uint64_t failed = 0;   ///< Told that it may have run.
  std::uint64_t broken = 0;   ///< Cut, wrong, or no answer at all.
  Latencies latency;          ///< Since the planned arrival; answered only.
  Latencies short_wait;       ///< In the queue, of work that is not long.

  auto Merge(const StreamResult& other) -> void;
};

/// The outcome of a run of the load tool.
struct LoadResult {
  std::string scenario;
  std::map<std::string, StreamResult> streams;
  std::map<std::string, std::vector<StreamResult>> seconds;
  std::map<std::string, std::uint64_t> servers;  ///< Answers by server.

  auto Merge(const LoadResult& other) -> void;
};

/// @return the result as it is kept in a file.
auto ToJson(const LoadResult& result) -> nlohmann::json;
/// Prints a table, and a chart of p99 by second for each stream.
auto PrintResult(const LoadResult& result, std::ostream& out) -> void;
/// Prints two kept results side by side.
/// @throws nlohmann::json::exception if one is not a kept result.
auto PrintComparison(const nlohmann::json& before, const nlohmann::json& after,
                     std::ostream& out) -> void;

}  // namespace currantbeam
