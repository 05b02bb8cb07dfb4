#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace currantbeam {

/// A point in time on a monotonic clock of one process. Time points of
/// different processes must not be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// @return the whole milliseconds of a duration, as logged.
inline auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// A source of monotonic time; tests replace it with a ManualClock.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual auto Now() const -> TimePoint = 0;
};

/// CLOCK_MONOTONIC. Stands still while the machine is suspended.
class SteadyClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override {
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now());
  }
};

/// CLOCK_BOOTTIME: monotonic, and includes the time in which the machine was
/// suspended. Used for leases, which must expire during a suspension.
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

/// A clock for tests whose time changes only with Advance().
class ManualClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override { return this->now; }
  auto Advance(Duration step) -> void { this->now += step; }

 private:
  TimePoint now{std::chrono::seconds(1000)};
};

/// @return the microseconds since the clock's epoch.
inline auto ToMicros(TimePoint time) -> std::int64_t {
  return time.time_since_epoch().count();
}
/// @return the time point that many microseconds after the clock's epoch.
inline auto FromMicros(std::int64_t micros) -> TimePoint {
  return TimePoint(Duration(micros));
}

}  // namespace currantbeam
