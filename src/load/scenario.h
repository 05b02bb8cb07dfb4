#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// One stream of requests within a scenario. The fields are the settings of a
/// [[stream]] table in a scenario file.
struct LoadStream {
  std::string name;
  std::string path;
  std::string method;
  std::string neighbour;
  double rate = 100;          ///< Mean requests per second (Poisson arrivals).
  std::uint64_t keys = 1000;  ///< Number of distinct keys.
  double zipf = 0;  ///< Zipf exponent of key popularity; 0 is uniform.
  std::chrono::microseconds work{2000};  ///< Server work for each request.
  std::uint64_t answer_bytes = 200;      ///< Length of a response body.
  double straggler_share = 0;            ///< Share of keys that are stragglers.
  double straggler_factor = 100;         ///< Multiplies the work of stragglers.
  std::chrono::milliseconds crest_at{0};      ///< Start of a burst.
  std::chrono::milliseconds crest_length{0};  ///< 0 for no burst.
  double crest_factor = 1;  ///< Multiplies the rate during the burst.
  /// When the popularity moves to other keys; 0 for never.
  std::chrono::milliseconds shift_at{0};
};

/// The load of one run: what to send, for how long.
struct Scenario {
  std::string name;
  std::chrono::milliseconds duration{10000};
  std::uint64_t seed = 1;
  std::vector<LoadStream> streams;

  /// @throws InputError naming file, line and field.
  static auto FromFile(const std::string& path) -> Scenario;
};

/// One request. All are planned before the run, so that slow responses don't
/// reduce the load.
struct Arrival {
  std::chrono::microseconds at{0};  ///< Time since the start of the run.
  std::uint32_t stream = 0;         ///< Index into Scenario::streams.
  std::uint64_t key = 0;
  bool is_straggler = false;
};

/// @return all arrivals of the scenario, ordered by time. The same seed gives
///   the same arrivals.
auto PlanArrivals(const Scenario& scenario) -> std::vector<Arrival>;

}  // namespace currantbeam
