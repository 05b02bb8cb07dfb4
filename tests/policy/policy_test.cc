#include "policy/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace currantbeam {
namespace {

auto MakeItem(std::uint64_t id, const std::string& class_name,
              const std::string& neighbour, TimePoint now) -> WorkItem {
  WorkItem item;
  item.id = id;
  item.class_name = ClassName(class_name);
  item.neighbour = NeighbourName(neighbour);
  item.expected = std::chrono::milliseconds(1);
  item.enqueued = now;
  item.deadline = now + std::chrono::hours(1);
  item.max_wait = std::chrono::hours(1);
  return item;
}

TEST(ServerQueue, SharesByWeightRegardlessOfTheNumberOfRequests) {
  ManualClock clock;
  ServerQueue queue(4, clock.Now());
  Duration retry_after{0};
  std::map<std::uint64_t, std::string> neighbour_of;
  std::uint64_t id = 0;
  for (int i = 0; i < 1000; ++i) {
    ++id;
    neighbour_of[id] = "flood";
    queue.Offer(MakeItem(id, "c", "flood", clock.Now()), clock.Now(),
                retry_after);
  }
  for (int i = 0; i < 50; ++i) {
    ++id;
    neighbour_of[id] = "calm";
    queue.Offer(MakeItem(id, "c", "calm", clock.Now()), clock.Now(),
                retry_after);
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 100;) {
    for (const auto next : queue.StartQueued(clock.Now())) {
      ++started[neighbour_of[next]];
      queue.Finish(next);
      ++i;
    }
  }
  EXPECT_GE(started["calm"], 48);
}

TEST(ServerQueue, ReservesSlotsForShortRequests) {
  ManualClock clock;
  ServerQueue queue(4, clock.Now());
  for (int i = 0; i < 100; ++i) queue.Limit().OnResponse(clock.Now());
  ASSERT_EQ(queue.Limit().Limit(), 4);
  Duration retry_after{0};
  for (std::uint64_t id = 1; id <= 20; ++id) {
    auto item = MakeItem(id, "c", "n", clock.Now());
    item.is_long = true;
    item.expected = std::chrono::seconds(1);
    queue.Offer(item, clock.Now(), retry_after);
  }
  EXPECT_EQ(queue.StartQueued(clock.Now()).size(), 2U);
  queue.Offer(MakeItem(99, "c", "n", clock.Now()), clock.Now(), retry_after);
  EXPECT_EQ(queue.StartQueued(clock.Now()), std::vector<std::uint64_t>{99});
}

TEST(ServerQueue, RefusesRequestsThatWouldMissTheirDeadline) {
  ManualClock clock;
  ServerQueue queue(1, clock.Now());
  Duration retry_after{0};
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Offer(MakeItem(id, "c", "n", clock.Now()), clock.Now(), retry_after);
  }
  auto item = MakeItem(101, "c", "n", clock.Now());
  item.deadline = clock.Now() + std::chrono::milliseconds(50);
  EXPECT_EQ(queue.Offer(item, clock.Now(), retry_after), Admission::kRefused);
  EXPECT_EQ(retry_after, std::chrono::milliseconds(100));
  item.deadline = clock.Now() + std::chrono::milliseconds(200);
  EXPECT_EQ(queue.Offer(item, clock.Now(), retry_after), Admission::kQueued);
}

/// Applies random offers, finishes and cancellations, and compares the queue
/// with a plain map of the admitted requests.
TEST(ServerQueue, NeverExceedsItsLimitOrLosesRequests) {
  EXPECT_TRUE(rc::check("started + queued + cancelled = admitted", [] {
    ManualClock clock;
    const auto slots = *rc::gen::inRange(1, 7);
    ServerQueue queue(slots, clock.Now());
    std::map<std::uint64_t, bool> admitted;  // True once started.
    std::uint64_t id = 0;
    Duration retry_after{0};
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const auto step : steps) {
      clock.Advance(std::chrono::milliseconds(1));
      if (step < 50) {
        auto item = MakeItem(++id, "c" + std::to_string(step % 3),
                             "n" + std::to_string(step % 4), clock.Now());
        item.is_long = step % 5 == 0;
        if (queue.Offer(item, clock.Now(), retry_after) == Admission::kQueued) {
          admitted[item.id] = false;
        }
      } else if (!admitted.empty()) {
        const auto chosen = std::next(
            admitted.begin(), static_cast<long>(static_cast<std::size_t>(step) %
                                                admitted.size()));
        if (chosen->second) {
          queue.Finish(chosen->first);
        } else {
          RC_ASSERT(queue.CancelQueued(chosen->first));
        }
        admitted.erase(chosen);
      }
      if (step % 7 == 0) queue.Limit().OnShed(clock.Now());
      if (step % 11 == 0) queue.Limit().OnResponse(clock.Now());
      for (const auto started : queue.StartQueued(clock.Now())) {
        RC_ASSERT(admitted.count(started) == 1 && !admitted[started]);
        admitted[started] = true;
      }
      std::size_t running = 0;
      for (const auto& [key, is_started] : admitted) {
        if (is_started) ++running;
      }
      RC_ASSERT(queue.Running() == running);
      RC_ASSERT(queue.Queued() == admitted.size() - running);
      RC_ASSERT(running <= static_cast<std::size_t>(slots));
    }
  }));
}

TEST(ServiceTimes, LearnsWhichKeysAreLongRunning) {
  ServiceTimes times(4);
  const ClassName work("c");
  for (std::uint64_t key = 0; key < 200; ++key) {
    times.Observe(work, key, std::chrono::milliseconds(2));
  }
  times.Observe(work, 1000, std::chrono::milliseconds(200));
  EXPECT_TRUE(times.IsLong(work, 1000));
  EXPECT_FALSE(times.IsLong(work, 5));
  for (std::uint64_t key = 2000; key < 2010; ++key) {
    times.Observe(work, key, std::chrono::milliseconds(200));
  }
  EXPECT_FALSE(times.IsLong(work, 1000))
      << "the least recently observed key is evicted";
  EXPECT_LT(times.Typical(work), std::chrono::milliseconds(4));
}

TEST(RetryBudget, LimitsRetriesToARatioOfTheRequests) {
  RetryBudget budget({0.1, 5});
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnRequest();
    if (budget.TryRetry()) ++retries;
  }
  EXPECT_LE(retries, 1005);
}

/// @return how many retries the hosts make together if requests are spread over
///   them round-robin and every permitted retry is made.
auto CountRetries(int hosts, int requests, const RetryLimits& fleet) -> int {
  std::vector<RetryBudget> budgets(hosts, RetryBudget(fleet.PerHost(hosts)));
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    auto& budget = budgets[i % hosts];
    budget.OnRequest();
    while (budget.TryRetry()) ++retries;
  }
  return retries;
}

TEST(RetryBudget, KeepsAllHostsTogetherWithinTheFleetLimits) {
  const RetryLimits fleet{0.2, 170};
  for (const int hosts : {1, 9, 65, 83, 300}) {
    // With few requests the burst dominates.
    for (const int requests : {2'000, 20'000}) {
      const int retries = CountRetries(hosts, requests, fleet);
      EXPECT_LE(retries, requests * fleet.ratio + fleet.burst) << hosts;
      EXPECT_GE(retries, requests * fleet.ratio / 2) << hosts;
    }
  }
}

TEST(RetryBudget, AppliesChangedLimits) {
  RetryBudget budget({0, 50});
  budget.SetLimits({0, 3});
  int retries = 0;
  while (budget.TryRetry()) ++retries;
  EXPECT_EQ(retries, 3);
  budget.SetLimits({0, 5});
  while (budget.TryRetry()) ++retries;
  EXPECT_EQ(retries, 5);
}

TEST(FleetSize, GrowsAtOnceAndShrinksAfterTheWindow) {
  ManualClock clock;
  FleetSize fleet;
  EXPECT_EQ(fleet.Hosts(clock.Now()), 100) << "no host count was received";
  fleet.Update(9, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 9);
  fleet.Update(12, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 12);
  for (int second = 0; second < 20; ++second) {
    clock.Advance(std::chrono::seconds(1));
    fleet.Update(6, clock.Now());
    EXPECT_EQ(fleet.Hosts(clock.Now()), 12) << second;
  }
  clock.Advance(std::chrono::seconds(1));
  fleet.Update(6, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 6);
  clock.Advance(std::chrono::minutes(5));
  EXPECT_EQ(fleet.Hosts(clock.Now()), 6)
      << "the last host count stays in force";
}

TEST(ConcurrencyLimit, RampsUpAndDecreasesWhenTheServerSheds) {
  ManualClock clock;
  ConcurrencyLimit limit(6, clock.Now());
  EXPECT_EQ(limit.Limit(), 3);
  for (int i = 0; i < 200; ++i) limit.OnResponse(clock.Now());
  EXPECT_EQ(limit.Limit(), 6);
  for (int i = 0; i < 10; ++i) limit.OnShed(clock.Now());
  EXPECT_EQ(limit.Limit(), 4)
      << "one burst of refusals decreases the limit once";
  for (int i = 0; i < 20; ++i) {
    clock.Advance(std::chrono::milliseconds(100));
    limit.OnShed(clock.Now());
  }
  EXPECT_EQ(limit.Limit(), 1);
}

TEST(ClassController, RaisesTheWeightOfAClassThatMissesItsTarget) {
  RequestClass work;
  work.name = ClassName("c");
  work.waiting_target = std::chrono::milliseconds(10);
  ClassController controller;
  controller.SetTargets({work});
  const auto before = controller.PolicyFor(work.name);
  for (int i = 0; i < 100; ++i) {
    controller.OnStarted(work.name, std::chrono::milliseconds(50));
    controller.OnFinished(work.name, true);
  }
  controller.Adjust();
  const auto after = controller.PolicyFor(work.name);
  EXPECT_GT(after.weight, before.weight);
  EXPECT_LT(after.max_wait, before.max_wait);
  for (int i = 0; i < 200; ++i) controller.Adjust();
  EXPECT_DOUBLE_EQ(controller.PolicyFor(work.name).weight, work.share);
}

/// Compares the sketch with exact counts: every frequent key is found, and no
/// count is off by more than its error.
TEST(HotKeySketch, FindsEveryKeyAboveTheCapacityThreshold) {
  EXPECT_TRUE(rc::check("counts stay within the bounds of Space-Saving", [] {
    constexpr std::size_t kCapacity = 20;
    HotKeySketch sketch(kCapacity);
    std::map<std::uint64_t, std::uint64_t> exact;
    const auto keys = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(0, 60));
    for (const auto key : keys) {
      sketch.Add(key);
      ++exact[key];
    }
    std::map<std::uint64_t, std::uint64_t> found;
    for (const auto& count : sketch.KeysAtLeast(0)) {
      RC_ASSERT(count.count >= exact[count.hash]);
      RC_ASSERT(count.count - count.error <= exact[count.hash]);
      found[count.hash] = count.count;
    }
    for (const auto& [key, count] : exact) {
      if (count > keys.size() / kCapacity) RC_ASSERT(found.count(key) == 1U);
    }
  }));
}

TEST(IdempotencyCache, RunsARequestOncePerKeyUntilDiscardedOrExpired) {
  ManualClock clock;
  IdempotencyCache cache(2, std::chrono::minutes(1));
  using State = IdempotencyCache::State;
  EXPECT_EQ(cache.Begin("a", clock.Now()).state, State::kNew);
  EXPECT_EQ(cache.Begin("a", clock.Now()).state, State::kRunning);
  cache.Complete("a", CachedResponse{200, "text/plain", "yes"});
  const auto found = cache.Begin("a", clock.Now());
  EXPECT_EQ(found.state, State::kCompleted);
  EXPECT_EQ(found.cached_response->body, "yes");
  cache.Begin("b", clock.Now());
  cache.Discard("b");
  EXPECT_EQ(cache.Begin("b", clock.Now()).state, State::kNew);
  clock.Advance(std::chrono::minutes(1));
  EXPECT_EQ(cache.Begin("a", clock.Now()).state, State::kNew);
}

}  // namespace
}  // namespace currantbeam
