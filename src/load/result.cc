#include "load/result.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace currantbeam {
namespace {

constexpr int kBinCount = 800;
constexpr double kMinMicros = 1;
constexpr double kMaxMicros = 1e8;
constexpr double kMicrosPerMilli = 1000;
constexpr int kMaxBarWidth = 50;

auto Millis(Duration duration) -> double {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

auto StreamJson(const StreamResult& result) -> nlohmann::json {
  return {{"sent", result.sent},
          {"answered", result.answered},
          {"refused", result.refused},
          {"failed", result.failed},
          {"broken", result.broken},
          {"p50_ms", Millis(result.latency.Quantile(0.5))},
          {"p90_ms", Millis(result.latency.Quantile(0.9))},
          {"p99_ms", Millis(result.latency.Quantile(0.99))},
          {"p999_ms", Millis(result.latency.Quantile(0.999))},
          {"max_ms", Millis(result.latency.Max())},
          {"short_wait_p99_ms", Millis(result.short_wait.Quantile(0.99))}};
}

auto PrintChart(const std::vector<StreamResult>& seconds, std::ostream& out)
    -> void {
  double max_p99_ms = 1;
  for (const auto& second : seconds) {
    max_p99_ms = std::max(max_p99_ms, Millis(second.latency.Quantile(0.99)));
  }
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    const auto p99 = Millis(seconds[i].latency.Quantile(0.99));
    const auto width = static_cast<std::size_t>(
        std::lround(kMaxBarWidth * std::log1p(p99) / std::log1p(max_p99_ms)));
    out << std::setw(5) << i << " s " << std::setw(8) << p99 << " ms "
        << std::string(width, '#') << " answered " << seconds[i].answered
        << " of " << seconds[i].sent << "\n";
  }
}

}  // namespace

LatencyDistribution::LatencyDistribution()
    : histogram(boost::histogram::make_histogram(
          Axis(kBinCount, kMinMicros, kMaxMicros))) {}

auto LatencyDistribution::Add(Duration latency) -> void {
  this->histogram(std::max(static_cast<double>(latency.count()), kMinMicros));
  ++this->count;
  this->max = std::max(this->max, latency);
}

auto LatencyDistribution::Merge(const LatencyDistribution& other) -> void {
  this->histogram += other.histogram;
  this->count += other.count;
  this->max = std::max(this->max, other.max);
}

auto LatencyDistribution::Quantile(double quantile) const -> Duration {
  if (this->count == 0) return Duration(0);
  const auto rank = quantile * static_cast<double>(this->count);
  double cumulative = this->histogram.at(-1);
  for (int bin = 0; bin < kBinCount; ++bin) {
    cumulative += this->histogram.at(bin);
    if (cumulative < rank) continue;
    const auto upper = Duration(
        static_cast<std::int64_t>(this->histogram.axis().bin(bin).upper()));
    return std::min(upper, this->max);
  }
  return this->max;
}

auto StreamResult::Merge(const StreamResult& other) -> void {
  this->sent += other.sent;
  this->answered += other.answered;
  this->refused += other.refused;
  this->failed += other.failed;
  this->broken += other.broken;
  this->latency.Merge(other.latency);
  this->short_wait.Merge(other.short_wait);
}

auto LoadResult::Merge(const LoadResult& other) -> void {
  for (const auto& [name, stream] : other.streams) {
    this->streams[name].Merge(stream);
  }
  for (const auto& [name, others] : other.seconds) {
    auto& merged = this->seconds[name];
    if (merged.size() < others.size()) merged.resize(others.size());
    for (std::size_t i = 0; i < others.size(); ++i) merged[i].Merge(others[i]);
  }
  for (const auto& [server, count] : other.servers) {
    this->servers[server] += count;
  }
}

auto ToJson(const LoadResult& result) -> nlohmann::json {
  auto streams = nlohmann::json::object();
  for (const auto& [name, stream] : result.streams) {
    streams[name] = StreamJson(stream);
  }
  auto seconds = nlohmann::json::object();
  for (const auto& [name, rows] : result.seconds) {
    for (const auto& row : rows) seconds[name].push_back(StreamJson(row));
  }
  return {{"scenario", result.scenario},
          {"streams", streams},
          {"seconds", seconds},
          {"servers", result.servers}};
}

auto PrintResult(const LoadResult& result, std::ostream& out) -> void {
  out << std::fixed << std::setprecision(1);
  for (const auto& [name, stream] : result.streams) {
    const auto& latency = stream.latency;
    out << name << ": sent " << stream.sent << ", answered " << stream.answered
        << ", refused " << stream.refused << ", failed " << stream.failed
        << ", broken " << stream.broken << "\n  p50 "
        << Millis(latency.Quantile(0.5)) << " p90 "
        << Millis(latency.Quantile(0.9)) << " p99 "
        << Millis(latency.Quantile(0.99)) << " p99.9 "
        << Millis(latency.Quantile(0.999)) << " max " << Millis(latency.Max())
        << " ms; p99 queue wait of requests that are no stragglers "
        << Millis(stream.short_wait.Quantile(0.99)) << " ms\n";
    const auto found = result.seconds.find(name);
    if (found != result.seconds.end()) PrintChart(found->second, out);
  }
}

auto PrintComparison(const nlohmann::json& before, const nlohmann::json& after,
                     std::ostream& out) -> void {
  out << std::fixed << std::setprecision(2);
  for (const auto& [name, stream] : after.at("streams").items()) {
    if (!before.at("streams").contains(name)) continue;
    const auto& before_stream = before.at("streams").at(name);
    out << name << "\n";
    for (const auto& [field, value] : stream.items()) {
      out << "  " << std::left << std::setw(20) << field << std::right
          << std::setw(14) << before_stream.at(field).get<double>() << " -> "
          << std::setw(14) << value.get<double>() << "\n";
    }
  }
}

}  // namespace currantbeam
