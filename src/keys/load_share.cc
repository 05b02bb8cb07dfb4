#include "keys/load_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>

namespace currantbeam {
namespace {

/// Pieces in which the load is dealt out, at the least, and for each server.
constexpr int kLeastPieces = 400;
constexpr int kPiecesPerServer = 16;
/// Beyond this utilisation the estimate goes on as a steep line.
constexpr double kFull = 0.9;
constexpr double kOverloadSlope = 100;
/// A server gets this part of an even share at least, so that its speed stays
/// known.
constexpr double kLeastPart = 0.15;

/// @return the latency, in service times, at a utilisation.
auto LatencyFactor(double utilisation, int slots) -> double {
  const double bounded = std::min(utilisation, kFull);
  const double exponent = std::sqrt(2.0 * (slots + 1)) - 1;
  const double wait = std::pow(bounded, exponent) / (slots * (1 - bounded));
  const double over = std::max(utilisation - kFull, 0.0);
  return 1 + wait + kOverloadSlope * over;
}

/// @return what one server's requests cost together, in seconds a second.
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
  const double floor = kLeastPart / static_cast<double>(count);
  const int pieces =
      std::max(kLeastPieces, kPiecesPerServer * static_cast<int>(count));
  const double piece = rate * (1 - kLeastPart) / pieces;
  std::vector<double> rates(count, rate * floor);
  using Next = std::pair<double, std::size_t>;
  std::priority_queue<Next, std::vector<Next>, std::greater<>> next;
  const auto add = [&](std::size_t i) {
    next.emplace(
        Cost(servers[i], rates[i] + piece) - Cost(servers[i], rates[i]), i);
  };
  for (std::size_t i = 0; i < count; ++i) add(i);
  for (int n = 0; n < pieces; ++n) {
    const auto i = next.top().second;
    next.pop();
    rates[i] += piece;
    add(i);
  }
  const double sum = rate > 0 ? rate : 1;
  const double even = 1.0 / static_cast<double>(count);
  for (auto& one : rates) one = rate > 0 ? one / sum : even;
  return rates;
}

}  // namespace currantbeam
