#include <gtest/gtest.h>

#include <map>

#include "policy/policy.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that answers at a fixed rate and holds a few requests, in front of
/// which clients are refused. Each comes back once.
class HotServer {
 public:
  static constexpr Duration kAnswerInterval = milliseconds(70);
  static constexpr int kRoom = 12;

  /// @return whether there was room.
  auto Offer(TimePoint now) -> bool {
    while (this->held > 0 && now - this->answered_at >= kAnswerInterval) {
      --this->held;
      this->answered_at += kAnswerInterval;
    }
    if (this->held == 0) this->answered_at = now;
    if (this->held >= kRoom) return false;
    ++this->held;
    return true;
  }

 private:
  int held = 0;
  TimePoint answered_at{};
};

/// Plays a key that gets many times what its server can answer for a while.
/// @param wait_of  tells a refused client how long to stay away.
/// @param on_served  is called for each client that is served.
/// @return how many clients were served.
template <typename WaitOf, typename OnServed>
auto PlayHotKey(Duration spell, const WaitOf& wait_of,
                const OnServed& on_served) -> int {
  constexpr Duration kArrivalInterval = milliseconds(7);
  ManualClock clock;
  HotServer server;
  std::multimap<TimePoint, bool> arrivals;  // Whether it has been here before.
  const auto start = clock.Now();
  for (Duration at{0}; at < spell; at += kArrivalInterval) {
    arrivals.emplace(start + at, false);
  }
  int served = 0;
  while (!arrivals.empty()) {
    const auto [now, has_returned] = *arrivals.begin();
    arrivals.erase(arrivals.begin());
    if (server.Offer(now)) {
      ++served;
      on_served();
    } else if (!has_returned) {
      arrivals.emplace(now + wait_of(now), true);
    }
  }
  return served;
}

TEST(RetryAfterScheduler, ServesMoreThanAFixedWaitWhileAKeyIsHot) {
  const auto longest = milliseconds(2600);
  const int fixed = PlayHotKey(
      seconds(5), [](TimePoint) { return milliseconds(200); }, [] {});
  // A gateway of many, which sees few answers, expects them far too soon.
  for (const int too_soon : {1, 20}) {
    RetryAfterScheduler schedule;
    const int scheduled = PlayHotKey(
        seconds(5),
        [&](TimePoint now) {
          return schedule.Next(now, HotServer::kAnswerInterval / too_soon,
                               longest);
        },
        [&] { schedule.OnAnswer(); });
    // Beyond what the server answers in the spell, it can answer those that
    // come back after it.
    const auto after = static_cast<int>(longest / HotServer::kAnswerInterval);
    EXPECT_GE(scheduled, fixed + after / 2) << too_soon;
  }
}

TEST(RetryAfterScheduler, BringsClientsBackSoonAfterAShortCrest) {
  RetryAfterScheduler schedule;
  ManualClock clock;
  for (int i = 0; i < 5; ++i) {
    const auto wait =
        schedule.Next(clock.Now(), milliseconds(20), milliseconds(2000));
    EXPECT_LE(wait, milliseconds(200));
  }
  clock.Advance(seconds(1));
  EXPECT_LE(schedule.Next(clock.Now(), milliseconds(20), milliseconds(2000)),
            milliseconds(100));
}

TEST(RetryAfterScheduler, NeverAsksForMoreThanAClientCanWait) {
  RetryAfterScheduler schedule;
  ManualClock clock;
  for (int i = 0; i < 100; ++i) {
    EXPECT_LE(schedule.Next(clock.Now(), seconds(1), milliseconds(300)),
              milliseconds(300));
  }
  EXPECT_EQ(schedule.Next(clock.Now(), seconds(1), milliseconds(-5)),
            Duration(0));
}

}  // namespace
}  // namespace currantbeam
