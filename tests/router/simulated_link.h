#pragma once

#include <algorithm>

#include "runtime/runtime.h"
#include "store/store.h"

namespace currantbeam {

/// A machine's link in simulated time, which all its transfers share. Runs on
/// one loop.
class SimulatedLink {
 public:
  /// @param mbps  the bandwidth in Mbit/s; 0 if it is unlimited.
  SimulatedLink(const Clock& clock, double mbps) : clock(clock), mbps(mbps) {}

  /// @return when these further bytes have passed.
  auto Enqueue(std::size_t bytes) -> TimePoint {
    const auto begin = std::max(this->clock.Now(), this->busy_until);
    this->busy_until = begin + this->TimeOf(bytes);
    this->total_bytes += bytes;
    return this->busy_until;
  }
  auto SetBandwidth(double bandwidth_mbps) -> void {
    this->mbps = bandwidth_mbps;
  }
  /// @return Mbit/s; 0 if it is unlimited.
  [[nodiscard]] auto Bandwidth() const -> double { return this->mbps; }
  [[nodiscard]] auto TotalBytes() const -> std::size_t {
    return this->total_bytes;
  }

 private:
  [[nodiscard]] auto TimeOf(std::size_t bytes) const -> Duration {
    if (this->mbps == 0) return Duration(0);
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(bytes) * 8 / this->mbps));
  }

  const Clock& clock;
  double mbps;
  TimePoint busy_until{};
  std::size_t total_bytes = 0;
};

/// Transfers bytes over two links in small parts, which parts of other
/// transfers come between.
/// @return whether all bytes arrived; false if the receiver gave up since there
///   was no progress.
inline auto Transfer(const Clock& clock, SimulatedLink& from, SimulatedLink& to,
                     std::size_t bytes) -> bool {
  constexpr std::size_t kPartBytes = 16 * 1024;
  while (bytes != 0) {
    const auto part = std::min(bytes, kPartBytes);
    const auto give_up_at = clock.Now() + kStallTimeout;
    const auto arrival = std::max(from.Enqueue(part), to.Enqueue(part));
    SleepFor(std::min(arrival, give_up_at) - clock.Now());
    if (arrival > give_up_at) return false;
    bytes -= part;
  }
  return true;
}

}  // namespace currantbeam
