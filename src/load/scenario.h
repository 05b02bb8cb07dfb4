#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// One stream of requests within a scenario.
struct LoadStream {
  std::string name;
  std::string path;
  std::string method;
  std::string neighbour;
  double rate = 100;  ///< Arrivals a second, on average.
  std::uint64_t keys = 1000;
  double zipf = 0;  ///< Skew of key popularity; 0 is even.
  std::chrono::microseconds work{2000};
  std::uint64_t answer_bytes = 200;
  double straggler_share = 0;  ///< Share of keys whose work is long.
  double straggler_factor = 100;
  std::chrono::milliseconds crest_at{0};
  std::chrono::milliseconds crest_length{0};
  double crest_factor = 1;
  std::chrono::milliseconds shift_at{0};  ///< When other keys become hot.
};

/// What the load tool is to offer.
struct Scenario {
  std::string name;
  std::chrono::milliseconds duration{10000};
  std::uint64_t seed = 1;
  std::vector<LoadStream> streams;

  /// @throws InputError naming file, line and field.
  static auto FromFile(const std::string& path) -> Scenario;
};

/// One request, planned before the run so that lateness cannot thin it out.
struct Arrival {
  std::chrono::microseconds at{0};  ///< Since the start.
  std::uint32_t stream = 0;
  std::uint64_t key = 0;
  bool is_long = false;
};

/// @return all arrivals of the scenario in order of time; the same for the
/// same seed.
auto PlanArrivals(const Scenario& scenario) -> std::vector<Arrival>;

}  // namespace currantbeam
