#pragma once

#include <chrono>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// The capacity of one server.
struct ServerCapacity {
  int slots = 1;             ///< Requests that it runs at a time.
  Duration service_time{0};  ///< Of a typical request, without queueing.

  [[nodiscard]] auto RequestsPerSecond() const -> double {
    const std::chrono::duration<double> time(this->service_time);
    return this->slots / time.count();
  }
};

/// Divides a service's requests among servers of different speed so that the
/// mean latency is minimal: at low load the fast servers get most requests, at
/// high load each server gets a share in proportion to its capacity. The time
/// in queues is estimated with Sakasegawa's approximation of an M/M/m queue.
/// @param rate  the expected rate, in requests a second.
/// @return the share of each server, which sum up to 1; empty without servers.
auto ShareLoad(const std::vector<ServerCapacity>& servers, double rate)
    -> std::vector<double>;

}  // namespace currantbeam
