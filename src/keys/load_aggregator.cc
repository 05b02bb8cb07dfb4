#include "keys/load_aggregator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <unordered_set>

namespace currantbeam {
namespace {

/// The quantile of a server's latencies that indicates its speed. It is low,
/// because high latencies contain time spent in queues.
constexpr double kSpeedQuantile = 0.3;
/// Ratio of the mean service time to that quantile.
constexpr double kMeanPerSpeedQuantile = 1.8;
/// Samples from which a server's latency counts as known.
constexpr int kMinSamples = 40;
/// The mean of all servers counts as this many samples of each server, so that
/// no server appears fast because of a few low samples.
constexpr int kPriorSamples = 16;
/// Shares are calculated for at least this utilisation, so that they change
/// little while the load varies below it.
constexpr double kMinUtilisation = 0.5;
/// Shares change only if the sum of the absolute differences reaches this,
/// because each change moves keys.
constexpr double kMinTotalShareChange = 0.3;
/// Minimum time between changes of the weights of the same servers, because
/// each change moves keys.
constexpr auto kWeightInterval = std::chrono::seconds(5);
constexpr auto kRateHalfLife = std::chrono::milliseconds(1200);
/// Half-life of the peak rate.
constexpr auto kPeakHalfLife = std::chrono::seconds(20);
/// Ratio of the expected rate to the recent peak rate.
constexpr double kHeadroomFactor = 1.25;
/// A stripe is hot if its rate is at least this many times the mean of all
/// stripes, and at least this many requests a second.
constexpr double kMinHotMultipleOfMean = 8;
constexpr double kMinHotRate = 4;

/// @return the sum of the absolute differences; 1 if the sizes differ.
auto TotalChange(const std::vector<double>& a, const std::vector<double>& b)
    -> double {
  if (a.size() != b.size()) return 1;
  double sum = 0;
  for (std::size_t i = 0; i < a.size(); ++i) sum += std::abs(a[i] - b[i]);
  return sum;
}

/// @return the factor by which a value with the half-life decays in the time.
auto DecayFactor(Duration passed, Duration half_life) -> double {
  return std::pow(0.5, static_cast<double>(passed.count()) /
                           static_cast<double>(half_life.count()));
}

}  // namespace

auto LoadAggregator::Add(const ServiceLoad& load) -> void {
  for (const auto& [stripe, count] : load.requests) {
    if (stripe < 0 || stripe >= static_cast<int>(this->new_requests.size())) {
      continue;
    }
    this->new_requests[stripe] += count;
  }
  this->other_new_requests += load.other_requests;
  for (const auto& [id, latencies] : load.latencies_ms) {
    auto& sample = this->latencies[id];
    for (const int latency : latencies) {
      sample.Add(std::chrono::milliseconds(latency));
    }
  }
}

auto LoadAggregator::UpdateRates(TimePoint now) -> void {
  const Duration passed = now - this->rates_updated_at;
  this->rates_updated_at = now;
  if (passed <= Duration(0)) return;
  const double old_weight = DecayFactor(passed, kRateHalfLife);
  const double seconds = std::chrono::duration<double>(passed).count();
  for (std::size_t i = 0; i < this->rates.size(); ++i) {
    const double rate = this->new_requests[i] / seconds;
    this->rates[i] = old_weight * this->rates[i] + (1 - old_weight) * rate;
    this->new_requests[i] = 0;
  }
  this->other_rate = old_weight * this->other_rate +
                     (1 - old_weight) * this->other_new_requests / seconds;
  this->other_new_requests = 0;
  this->peak_rate = std::max(
      this->peak_rate * DecayFactor(passed, kPeakHalfLife), this->TotalRate());
}

auto LoadAggregator::TotalRate() const -> double {
  return std::accumulate(this->rates.begin(), this->rates.end(),
                         this->other_rate);
}

auto LoadAggregator::StripeLoads() const -> std::vector<double> {
  const double total = this->TotalRate();
  if (total < 1) return {};
  const auto count = static_cast<double>(this->rates.size());
  const double min_hot_rate =
      std::max(kMinHotRate, kMinHotMultipleOfMean * total / count);
  double hot_rate = 0;
  for (const double rate : this->rates) {
    if (rate >= min_hot_rate) hot_rate += rate;
  }
  const double cold_rate = std::max(total - hot_rate, 1.0) / count;
  std::vector<double> loads;
  loads.reserve(this->rates.size());
  for (const double rate : this->rates) {
    loads.push_back(rate >= min_hot_rate ? rate : cold_rate);
  }
  return loads;
}

auto LoadAggregator::SetWeights(std::vector<EligibleServer>& servers,
                                const std::vector<int>& slots, TimePoint now)
    -> void {
  std::vector<ServerId> ids;
  ids.reserve(servers.size());
  for (const auto& server : servers) ids.push_back(server.owner.id);
  const bool is_due = this->shares.empty() || ids != this->weighted_servers ||
                      now - this->shares_updated_at >= kWeightInterval;
  if (is_due) {
    auto shares = this->LoadShares(servers, slots);
    if (ids != this->weighted_servers ||
        TotalChange(shares, this->shares) >= kMinTotalShareChange) {
      this->shares = std::move(shares);
    }
    this->weighted_servers = std::move(ids);
    this->RemoveDepartedServers();
    this->shares_updated_at = now;
  }
  for (std::size_t i = 0; i < this->shares.size(); ++i) {
    servers[i].weight = this->shares[i];
  }
}

auto LoadAggregator::RemoveDepartedServers() -> void {
  if (this->latencies.size() <= 2 * this->weighted_servers.size()) return;
  const std::unordered_set<ServerId> current(this->weighted_servers.begin(),
                                             this->weighted_servers.end());
  for (auto it = this->latencies.begin(); it != this->latencies.end();) {
    it = current.count(it->first) != 0 ? std::next(it)
                                       : this->latencies.erase(it);
  }
}

auto LoadAggregator::LatencyOf(const ServerId& id) const
    -> std::optional<std::chrono::milliseconds> {
  const auto it = this->latencies.find(id);
  if (it == this->latencies.end()) return std::nullopt;
  if (it->second.Count() < kMinSamples) return std::nullopt;
  return it->second.Quantile(kSpeedQuantile);
}

auto LoadAggregator::MeanLatency(const std::vector<EligibleServer>& servers)
    const -> std::optional<Duration> {
  Duration sum{0};
  int known = 0;
  for (const auto& server : servers) {
    const auto latency = this->LatencyOf(server.owner.id);
    if (!latency) continue;
    sum += *latency;
    ++known;
  }
  // While the latencies of most servers are unknown, the known ones may not be
  // typical.
  const bool is_enough =
      known != 0 && known * 2 >= static_cast<int>(servers.size());
  if (!is_enough) return std::nullopt;
  return sum / known;
}

auto LoadAggregator::CapacityOf(const ServerId& id, int slots,
                                Duration mean) const -> ServerCapacity {
  Duration sum = kPriorSamples * mean;
  int samples = kPriorSamples;
  if (const auto it = this->latencies.find(id); it != this->latencies.end()) {
    sum += it->second.Count() * it->second.Quantile(kSpeedQuantile);
    samples += it->second.Count();
  }
  const double time = static_cast<double>(sum.count()) / samples;
  return {slots,
          Duration(static_cast<std::int64_t>(time * kMeanPerSpeedQuantile))};
}

auto LoadAggregator::LoadShares(const std::vector<EligibleServer>& servers,
                                const std::vector<int>& slots) const
    -> std::vector<double> {
  const auto mean = this->MeanLatency(servers);
  if (!mean) return {};
  std::vector<ServerCapacity> capacities;
  double total = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    capacities.push_back(
        this->CapacityOf(servers[i].owner.id, slots[i], *mean));
    total += capacities.back().RequestsPerSecond();
  }
  return ShareLoad(capacities, std::max(this->peak_rate * kHeadroomFactor,
                                        total * kMinUtilisation));
}

}  // namespace currantbeam
