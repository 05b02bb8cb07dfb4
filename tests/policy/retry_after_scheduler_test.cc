#include <gtest/gtest.h>

#include <map>

#include "policy/policy.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that answers at a fixed rate, queues a few requests and refuses the
/// others. A refused client retries once.
class HotServer {
 public:
  static constexpr Duration kResponseInterval = milliseconds(70);
  static constexpr int kCapacity = 12;

  /// @return false if the queue is full and the request is refused.
  auto Offer(TimePoint now) -> bool {
    while (this->queued > 0 && now - this->last_response >= kResponseInterval) {
      --this->queued;
      this->last_response += kResponseInterval;
    }
    if (this->queued == 0) this->last_response = now;
    if (this->queued >= kCapacity) return false;
    ++this->queued;
    return true;
  }

 private:
  int queued = 0;
  TimePoint last_response{};
};

/// Simulates a hot key that is requested ten times faster than its server can
/// respond.
/// @param hot_duration  how long the requests arrive.
/// @param delay_for  returns the retry delay of a client that is refused.
/// @param on_served  called for each client that is served.
/// @return how many clients were served.
template <typename DelayFor, typename OnServed>
auto SimulateHotKey(Duration hot_duration, const DelayFor& delay_for,
                    const OnServed& on_served) -> int {
  constexpr Duration kArrivalInterval = milliseconds(7);
  ManualClock clock;
  HotServer server;
  std::multimap<TimePoint, bool> arrivals;  // True for a retry.
  const auto start = clock.Now();
  for (Duration at{0}; at < hot_duration; at += kArrivalInterval) {
    arrivals.emplace(start + at, false);
  }
  int served = 0;
  while (!arrivals.empty()) {
    const auto [now, is_retry] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    if (server.Offer(now)) {
      ++served;
      on_served();
    } else if (!is_retry) {
      arrivals.emplace(now + delay_for(now), true);
    }
  }
  return served;
}

TEST(RetryAfterScheduler, ServesMoreClientsOfAHotKeyThanAFixedDelay) {
  const auto max_delay = milliseconds(2600);
  const int served_with_fixed_delay = SimulateHotKey(
      seconds(5), [](TimePoint) { return milliseconds(200); }, [] {});
  // One of many gateways sees few responses and underestimates the interval.
  for (const int underestimate : {1, 20}) {
    RetryAfterScheduler scheduler;
    const int served_with_scheduler = SimulateHotKey(
        seconds(5),
        [&](TimePoint now) {
          return scheduler.NextDelay(
              now, HotServer::kResponseInterval / underestimate, max_delay);
        },
        [&] { scheduler.OnResponse(); });
    // Clients that retry after the key was hot are served in addition.
    const auto served_late =
        static_cast<int>(max_delay / HotServer::kResponseInterval);
    EXPECT_GE(served_with_scheduler, served_with_fixed_delay + served_late / 2)
        << underestimate;
  }
}

TEST(RetryAfterScheduler, SchedulesEarlyRetriesAfterAShortBurst) {
  RetryAfterScheduler scheduler;
  ManualClock clock;
  for (int i = 0; i < 5; ++i) {
    const auto delay =
        scheduler.NextDelay(clock.Now(), milliseconds(20), milliseconds(2000));
    EXPECT_LE(delay, milliseconds(200));
  }
  clock.Advance(seconds(1));
  EXPECT_LE(
      scheduler.NextDelay(clock.Now(), milliseconds(20), milliseconds(2000)),
      milliseconds(100));
}

TEST(RetryAfterScheduler, NeverExceedsTheMaximumDelay) {
  RetryAfterScheduler scheduler;
  ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    EXPECT_LE(scheduler.NextDelay(clock.Now(), seconds(1), milliseconds(300)),
              milliseconds(300));
  }
  EXPECT_EQ(scheduler.NextDelay(clock.Now(), seconds(1), milliseconds(-5)),
            Duration(0));
}

}  // namespace
}  // namespace currantbeam
