#include "load/scenario.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "config/config.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMaxDuration{3'600'000};
constexpr double kMaxRate = 200'000;
constexpr std::int64_t kMaxKeys = 100'000'000;
constexpr std::int64_t kMaxAnswerBytes = 1'000'000'000;
constexpr double kMicrosPerSecond = 1e6;

auto ReadStream(TomlReader& reader) -> LoadStream {
  LoadStream stream;
  stream.name = reader.String("name");
  stream.path = reader.String("path");
  stream.method = reader.String("method", "GET");
  stream.neighbour = reader.String("neighbour", "load");
  stream.rate = reader.Number("rate", 0.01, kMaxRate, 100);
  stream.keys =
      static_cast<std::uint64_t>(reader.Integer("keys", 1, kMaxKeys, 1000));
  stream.zipf = reader.Number("zipf", 0, 3, 0);
  stream.work =
      std::chrono::microseconds(reader.Integer("work_us", 1, 60'000'000, 2000));
  stream.answer_bytes = static_cast<std::uint64_t>(
      reader.Integer("answer_bytes", 1, kMaxAnswerBytes, 200));
  stream.straggler_share = reader.Number("straggler_share", 0, 1, 0);
  stream.straggler_factor = reader.Number("straggler_factor", 1, 10'000, 100);
  stream.crest_at = reader.Milliseconds("crest_at_ms", milliseconds(0),
                                        kMaxDuration, milliseconds(0));
  stream.crest_length = reader.Milliseconds("crest_length_ms", milliseconds(0),
                                            kMaxDuration, milliseconds(0));
  stream.crest_factor = reader.Number("crest_factor", 1, 1000, 1);
  stream.shift_at = reader.Milliseconds("shift_at_ms", milliseconds(0),
                                        kMaxDuration, milliseconds(0));
  reader.RejectUnknownFields();
  return stream;
}

/// Samples keys from a Zipf distribution with a table of cumulative weights,
/// or uniformly if the stream's exponent is 0.
class KeySampler {
 public:
  explicit KeySampler(const LoadStream& stream) : keys(stream.keys) {
    if (stream.zipf == 0) return;
    constexpr std::uint64_t kMaxTableSize = 1'000'000;
    const auto size = std::min(this->keys, kMaxTableSize);
    double sum = 0;
    for (std::uint64_t rank = 1; rank <= size; ++rank) {
      sum += 1 / std::pow(static_cast<double>(rank), stream.zipf);
      this->cumulative.push_back(sum);
    }
  }

  auto Sample(std::mt19937_64& random) -> std::uint64_t {
    if (this->cumulative.empty()) {
      std::uniform_int_distribution<std::uint64_t> uniform(0, this->keys - 1);
      return uniform(random);
    }
    std::uniform_real_distribution<double> point(0, this->cumulative.back());
    const auto found = std::lower_bound(this->cumulative.begin(),
                                        this->cumulative.end(), point(random));
    return static_cast<std::uint64_t>(found - this->cumulative.begin());
  }

 private:
  std::uint64_t keys;
  std::vector<double> cumulative;
};

auto IsStragglerKey(std::uint64_t key, double share) -> bool {
  if (share == 0) return false;
  const auto hash = XXH3_64bits(&key, sizeof(key));
  return static_cast<double>(hash) / 18446744073709551616.0 < share;
}

auto RateAt(const LoadStream& stream, double seconds) -> double {
  const auto start = std::chrono::duration<double>(stream.crest_at).count();
  const auto length =
      std::chrono::duration<double>(stream.crest_length).count();
  const bool is_in_crest = seconds >= start && seconds < start + length;
  return is_in_crest ? stream.rate * stream.crest_factor : stream.rate;
}

}  // namespace

auto Scenario::FromFile(const std::string& path) -> Scenario {
  auto root = TomlReader::ParseFile(path);
  Scenario scenario;
  scenario.name = root.String("name");
  scenario.duration = root.Milliseconds("duration_ms", milliseconds(1),
                                        kMaxDuration, milliseconds(10'000));
  scenario.seed =
      static_cast<std::uint64_t>(root.Integer("seed", 0, INT64_MAX, 1));
  for (auto& reader : root.Tables("stream")) {
    scenario.streams.push_back(ReadStream(reader));
  }
  if (scenario.streams.empty()) root.Fail("stream", "needs at least one");
  root.RejectUnknownFields();
  return scenario;
}

auto PlanArrivals(const Scenario& scenario) -> std::vector<Arrival> {
  std::vector<Arrival> arrivals;
  const auto end = std::chrono::duration<double>(scenario.duration).count();
  for (std::uint32_t i = 0; i < scenario.streams.size(); ++i) {
    const auto& stream = scenario.streams[i];
    std::mt19937_64 random(scenario.seed * 1000 + i);
    std::exponential_distribution<double> interarrival(1);
    KeySampler key_sampler(stream);
    const auto shift = std::chrono::duration<double>(stream.shift_at).count();
    double now = 0;
    while (true) {
      now += interarrival(random) / RateAt(stream, now);
      if (now >= end) break;
      Arrival arrival;
      arrival.at = std::chrono::microseconds(
          static_cast<std::int64_t>(now * kMicrosPerSecond));
      arrival.stream = i;
      arrival.key = key_sampler.Sample(random);
      // After the shift other keys have the same popularity distribution.
      if (shift > 0 && now >= shift) arrival.key += stream.keys;
      arrival.is_straggler =
          IsStragglerKey(arrival.key, stream.straggler_share);
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

}  // namespace currantbeam
