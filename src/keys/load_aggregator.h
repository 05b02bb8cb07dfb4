#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "keys/latency_sample.h"
#include "keys/load_report.h"
#include "keys/load_share.h"
#include "keys/stripe_planner.h"

namespace currantbeam {

/// Combines the reports of all gateways on one keyed service into the load of
/// each stripe and the speed of each server, from which the servers' weights
/// follow. Part of ServiceCoordinator.
class LoadAggregator {
 public:
  /// @param stripe_count  of the service's owner map.
  explicit LoadAggregator(int stripe_count)
      : rates(stripe_count, 0), new_requests(stripe_count, 0) {}

  auto Add(const ServiceLoad& load) -> void;
  /// Updates the request rates with the requests added since the last call.
  auto UpdateRates(TimePoint now) -> void;

  /// @return the load of each stripe in requests a second. Hot stripes have
  ///   their own load; all other stripes have the same one. Empty while the
  ///   total rate is below one request a second.
  [[nodiscard]] auto StripeLoads() const -> std::vector<double>;
  /// Sets the weights of the servers by their speed and the expected load.
  /// Leaves them unchanged while too few latencies are known.
  /// @param slots  for each server, how many requests it runs at a time.
  auto SetWeights(std::vector<EligibleServer>& servers,
                  const std::vector<int>& slots, TimePoint now) -> void;

 private:
  /// Removes the latencies of servers that are no longer weighted, once those
  /// are the majority.
  auto RemoveDepartedServers() -> void;
  /// @return the latency that indicates the server's speed; nothing while it
  ///   has too few samples.
  [[nodiscard]] auto LatencyOf(const ServerId& id) const
      -> std::optional<std::chrono::milliseconds>;
  /// @return the servers' shares of the load, which sum up to 1; empty while
  ///   too few latencies are known.
  [[nodiscard]] auto LoadShares(const std::vector<EligibleServer>& servers,
                                const std::vector<int>& slots) const
      -> std::vector<double>;
  /// @param mean  of all servers' latencies, which counts most for a server
  ///   with few samples.
  [[nodiscard]] auto CapacityOf(const ServerId& id, int slots,
                                Duration mean) const -> ServerCapacity;
  /// @return the mean of the servers' latencies; nothing if those of most
  ///   servers are unknown.
  [[nodiscard]] auto MeanLatency(const std::vector<EligibleServer>& servers)
      const -> std::optional<Duration>;
  [[nodiscard]] auto TotalRate() const -> double;

  std::vector<double> rates;      ///< Requests a second, by stripe.
  std::vector<int> new_requests;  ///< Since the last update, by stripe.
  double other_rate = 0;       ///< Of requests that are reported in total only.
  int other_new_requests = 0;  ///< Since the last update.
  std::unordered_map<ServerId, LatencySample> latencies;
  TimePoint rates_updated_at{};
  double peak_rate = 0;  ///< Highest total rate; decays with time.
  std::vector<ServerId> weighted_servers;  ///< The servers of `shares`.
  std::vector<double> shares;
  TimePoint shares_updated_at{};
};

}  // namespace currantbeam
