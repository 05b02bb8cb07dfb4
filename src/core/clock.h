#pragma once

#include <chrono>
#include <ctime>

namespace currantbeam {

/// A point on one process's monotonic clock; never compared across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// A source of monotonic time, so that decisions can run on a fake one.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual auto Now() const -> TimePoint = 0;
};

/// The monotonic clock of this machine.
class SteadyClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
  }
};

/// The monotonic clock of this machine, with the time in which the machine was
/// suspended. Leases are counted on it.
class BootClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::nanoseconds(now.tv_nsec)));
  }
};

/// A clock that moves only when told to.
class ManualClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override { return this->now; }
  auto Advance(Duration step) -> void { this->now += step; }

 private:
  TimePoint now{std::chrono::seconds(1000)};
};

/// @return the time point as microseconds since the clock's own zero.
inline auto ToMicros(TimePoint time) -> std::int64_t {
  return time.time_since_epoch().count();
}
inline auto FromMicros(std::int64_t micros) -> TimePoint {
  return TimePoint(Duration(micros));
}

}  // namespace currantbeam
