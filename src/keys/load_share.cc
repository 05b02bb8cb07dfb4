#include "keys/load_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>

namespace currantbeam {
namespace {

/// The load is assigned in equal chunks. There are at least kMinChunks, and
/// more for many servers.
constexpr int kMinChunks = 400;
constexpr int kChunksPerServer = 16;
/// Above this utilisation the estimated latency increases linearly with
/// kOverloadSlope, because the queueing formula diverges at 1.
constexpr double kMaxModelledUtilisation = 0.9;
constexpr double kOverloadSlope = 100;
/// Each server gets at least this fraction of an equal share, so that its speed
/// is still measured.
constexpr double kMinFractionOfEqualShare = 0.15;

/// @return the ratio of the latency to the service time at a utilisation.
auto LatencyFactor(double utilisation, int slots) -> double {
  const double bounded = std::min(utilisation, kMaxModelledUtilisation);
  const double exponent = std::sqrt(2.0 * (slots + 1)) - 1;
  const double wait = std::pow(bounded, exponent) / (slots * (1 - bounded));
  const double excess = std::max(utilisation - kMaxModelledUtilisation, 0.0);
  return 1 + wait + kOverloadSlope * excess;
}

/// @return the sum of the latencies of the requests that the server receives in
///   one second, in seconds.
auto Cost(const ServerCapacity& server, double rate) -> double {
  const double service =
      std::chrono::duration<double>(server.service_time).count();
  const double utilisation = rate * service / server.slots;
  return rate * service * LatencyFactor(utilisation, server.slots);
}

}  // namespace

auto ShareLoad(const std::vector<ServerCapacity>& servers, double rate)
    -> std::vector<double> {
  const auto count = servers.size();
  if (count == 0) return {};
  const double min_share =
      kMinFractionOfEqualShare / static_cast<double>(count);
  const int chunks =
      std::max(kMinChunks, kChunksPerServer * static_cast<int>(count));
  const double chunk_rate = rate * (1 - kMinFractionOfEqualShare) / chunks;
  std::vector<double> rates(count, rate * min_share);
  using CostIncrease = std::pair<double, std::size_t>;
  std::priority_queue<CostIncrease, std::vector<CostIncrease>, std::greater<>>
      cheapest;
  const auto push_next = [&](std::size_t i) {
    cheapest.emplace(
        Cost(servers[i], rates[i] + chunk_rate) - Cost(servers[i], rates[i]),
        i);
  };
  for (std::size_t i = 0; i < count; ++i) push_next(i);
  for (int n = 0; n < chunks; ++n) {
    const auto i = cheapest.top().second;
    cheapest.pop();
    rates[i] += chunk_rate;
    push_next(i);
  }
  const double divisor = rate > 0 ? rate : 1;
  const double equal_share = 1.0 / static_cast<double>(count);
  for (auto& value : rates) value = rate > 0 ? value / divisor : equal_share;
  return rates;
}

}  // namespace currantbeam
