#pragma once

#include <chrono>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// What a server can do.
struct ServerCapacity {
  int slots = 1;
  Duration service_time{0};  ///< Of a typical request, without waiting.

  [[nodiscard]] auto RequestsPerSecond() const -> double {
    const std::chrono::duration<double> time(this->service_time);
    return this->slots / time.count();
  }
};

/// Divides a service's requests among servers of different speed so that the
/// sum of all latencies is least: with little load the fast ones do most of
/// it, with much all do what they can. Waiting is estimated for a queue with
/// several workers (Sakasegawa's approximation of M/M/m).
/// @param rate  requests a second that are to be expected.
/// @return the part of each server; the parts sum up to 1.
auto ShareLoad(const std::vector<ServerCapacity>& servers, double rate)
    -> std::vector<double>;

}  // namespace currantbeam
