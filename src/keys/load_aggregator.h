#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "keys/latency_sample.h"
#include "keys/load_report.h"
#include "keys/load_share.h"
#include "keys/stripe_planner.h"

namespace currantbeam {

/// What all gateways together see of one keyed service: how busy each stripe
/// is, and how fast each server.
class LoadAggregator {
 public:
  /// @param stripe_count  of the service's owner map.
  explicit LoadAggregator(int stripe_count)
      : rates(stripe_count, 0), new_requests(stripe_count, 0) {}

  auto Add(const ServiceLoad& load) -> void;
  /// Takes what arrived since the last call into the rates.
  auto UpdateRates(TimePoint now) -> void;

  /// @return the load of each stripe: that of busy ones as it is, that of all
  ///   others evened out; empty while nothing is known.
  [[nodiscard]] auto StripeLoads() const -> std::vector<double>;
  /// Sets the weights of the servers by their speed and the load to expect.
  auto SetWeights(std::vector<EligibleServer>& servers,
                  const std::vector<int>& slots, TimePoint now) -> void;

 private:
  /// Drops what is known of servers that have long gone.
  auto RemoveDepartedServers() -> void;
  /// @return the latency that shows the server's speed; nothing while too few
  ///   answers are known.
  [[nodiscard]] auto LatencyOf(const ServerId& id) const
      -> std::optional<std::chrono::milliseconds>;
  /// @return the servers' parts of the load; empty while too little is known.
  [[nodiscard]] auto LoadShares(const std::vector<EligibleServer>& servers,
                                const std::vector<int>& slots) const
      -> std::vector<double>;
  /// @param mean  of all servers' latencies, by which a server is judged of
  ///   which little is known.
  [[nodiscard]] auto CapacityOf(const ServerId& id, int slots,
                                Duration mean) const -> ServerCapacity;
  /// @return the mean of the known latencies; nothing if too few are known.
  [[nodiscard]] auto MeanLatency(const std::vector<EligibleServer>& servers)
      const -> std::optional<Duration>;
  [[nodiscard]] auto TotalRate() const -> double;

  std::vector<double> rates;  ///< Requests a second, by stripe.
  std::vector<int> new_requests;
  double other_rate = 0;
  int other_new_requests = 0;
  std::unordered_map<ServerId, LatencySample> latencies;
  TimePoint rates_updated_at{};
  double peak_rate = 0;
  std::vector<ServerId> weighted_servers;  ///< The servers that `parts` are of.
  std::vector<double> shares;
  TimePoint shares_updated_at{};
};

}  // namespace currantbeam
