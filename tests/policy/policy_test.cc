#include "policy/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace currantbeam {
namespace {

auto MakeItem(std::uint64_t id, const std::string& work,
              const std::string& neighbour, TimePoint now) -> WorkItem {
  WorkItem item;
  item.id = id;
  item.work = ClassName(work);
  item.neighbour = NeighbourName(neighbour);
  item.expected = std::chrono::milliseconds(1);
  item.enqueued = now;
  item.deadline = now + std::chrono::hours(1);
  item.patience = std::chrono::hours(1);
  return item;
}

TEST(ServerQueue, SharesByWeightHoweverManyOneNeighbourSends) {
  ManualClock clock;
  ServerQueue queue(4, clock.Now());
  Duration retry{0};
  std::map<std::uint64_t, std::string> owner;
  std::uint64_t id = 0;
  for (int i = 0; i < 1000; ++i) {
    ++id;
    owner[id] = "flood";
    queue.Offer(MakeItem(id, "c", "flood", clock.Now()), clock.Now(), retry);
  }
  for (int i = 0; i < 50; ++i) {
    ++id;
    owner[id] = "calm";
    queue.Offer(MakeItem(id, "c", "calm", clock.Now()), clock.Now(), retry);
  }
  std::map<std::string, int> started;
  for (int i = 0; i < 100;) {
    for (const auto next : queue.TakeStartable(clock.Now())) {
      ++started[owner[next]];
      queue.Finish(next);
      ++i;
    }
  }
  EXPECT_GE(started["calm"], 48);
}

TEST(ServerQueue, KeepsSlotsFreeOfLongWork) {
  ManualClock clock;
  ServerQueue queue(4, clock.Now());
  for (int i = 0; i < 100; ++i) queue.Limit().OnAnswer(clock.Now());
  ASSERT_EQ(queue.Limit().Limit(), 4);
  Duration retry{0};
  for (std::uint64_t id = 1; id <= 20; ++id) {
    auto item = MakeItem(id, "c", "n", clock.Now());
    item.is_long = true;
    item.expected = std::chrono::seconds(1);
    queue.Offer(item, clock.Now(), retry);
  }
  EXPECT_EQ(queue.TakeStartable(clock.Now()).size(), 2U);
  queue.Offer(MakeItem(99, "c", "n", clock.Now()), clock.Now(), retry);
  EXPECT_EQ(queue.TakeStartable(clock.Now()), std::vector<std::uint64_t>{99});
}

TEST(ServerQueue, RefusesWhatCannotMeetItsDeadline) {
  ManualClock clock;
  ServerQueue queue(1, clock.Now());
  Duration retry{0};
  for (std::uint64_t id = 1; id <= 100; ++id) {
    queue.Offer(MakeItem(id, "c", "n", clock.Now()), clock.Now(), retry);
  }
  auto item = MakeItem(101, "c", "n", clock.Now());
  item.deadline = clock.Now() + std::chrono::milliseconds(50);
  EXPECT_EQ(queue.Offer(item, clock.Now(), retry), Admission::kRefused);
  EXPECT_EQ(retry, std::chrono::milliseconds(100));
  item.deadline = clock.Now() + std::chrono::milliseconds(200);
  EXPECT_EQ(queue.Offer(item, clock.Now(), retry), Admission::kQueued);
}

/// Random offers, finishes and withdrawals against a plain list.
TEST(ServerQueue, NeverExceedsItsLimitNorLosesWork) {
  EXPECT_TRUE(rc::check("started + queued + withdrawn = admitted", [] {
    ManualClock clock;
    const auto slots = *rc::gen::inRange(1, 7);
    ServerQueue queue(slots, clock.Now());
    std::map<std::uint64_t, bool> open;  // True once started.
    std::uint64_t id = 0;
    Duration retry{0};
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const auto step : steps) {
      clock.Advance(std::chrono::milliseconds(1));
      if (step < 50) {
        auto item = MakeItem(++id, "c" + std::to_string(step % 3),
                             "n" + std::to_string(step % 4), clock.Now());
        item.is_long = step % 5 == 0;
        if (queue.Offer(item, clock.Now(), retry) == Admission::kQueued) {
          open[item.id] = false;
        }
      } else if (!open.empty()) {
        const auto chosen = std::next(
            open.begin(),
            static_cast<long>(static_cast<std::size_t>(step) % open.size()));
        if (chosen->second) {
          queue.Finish(chosen->first);
        } else {
          RC_ASSERT(queue.Withdraw(chosen->first));
        }
        open.erase(chosen);
      }
      if (step % 7 == 0) queue.Limit().OnShed(clock.Now());
      if (step % 11 == 0) queue.Limit().OnAnswer(clock.Now());
      for (const auto started : queue.TakeStartable(clock.Now())) {
        RC_ASSERT(open.count(started) == 1 && !open[started]);
        open[started] = true;
      }
      std::size_t running = 0;
      for (const auto& [key, is_started] : open) {
        if (is_started) ++running;
      }
      RC_ASSERT(queue.Running() == running);
      RC_ASSERT(queue.Queued() == open.size() - running);
      RC_ASSERT(running <= static_cast<std::size_t>(slots));
    }
  }));
}

TEST(ServiceTimes, LearnsWhichKeysAreLong) {
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
  EXPECT_FALSE(times.IsLong(work, 1000)) << "memory is bounded";
  EXPECT_LT(times.Typical(work), std::chrono::milliseconds(4));
}

TEST(RetryBudget, AllowsATenthOfTheRequests) {
  RetryBudget budget({0.1, 5});
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    budget.OnRequest();
    if (budget.TryRetry()) ++retries;
  }
  EXPECT_LE(retries, 1005);
}

/// @return the retries that hosts make which take requests in turn.
auto RetriesOf(int hosts, int requests, const RetryLimits& fleet) -> int {
  std::vector<RetryBudget> budgets(hosts, RetryBudget(fleet.PerHost(hosts)));
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    auto& budget = budgets[i % hosts];
    budget.OnRequest();
    while (budget.TryRetry()) ++retries;
  }
  return retries;
}

TEST(RetryBudget, HostsTogetherKeepToTheLimitsOfTheFleet) {
  const RetryLimits fleet{0.2, 170};
  for (const int hosts : {1, 9, 65, 83, 300}) {
    // With few requests it is the burst that counts.
    for (const int requests : {2'000, 20'000}) {
      const int retries = RetriesOf(hosts, requests, fleet);
      EXPECT_LE(retries, requests * fleet.share + fleet.burst) << hosts;
      EXPECT_GE(retries, requests * fleet.share / 2) << hosts;
    }
  }
}

TEST(RetryBudget, TakesChangedLimits) {
  RetryBudget budget({0, 50});
  budget.SetLimits({0, 3});
  int retries = 0;
  while (budget.TryRetry()) ++retries;
  EXPECT_EQ(retries, 3);
  budget.SetLimits({0, 5});
  while (budget.TryRetry()) ++retries;
  EXPECT_EQ(retries, 5);
}

TEST(FleetSize, GrowsAtOnceAndShrinksLate) {
  ManualClock clock;
  FleetSize fleet;
  EXPECT_EQ(fleet.Hosts(clock.Now()), 100) << "nothing is known";
  fleet.OnTold(9, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 9);
  fleet.OnTold(12, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 12);
  for (int second = 0; second < 20; ++second) {
    clock.Advance(std::chrono::seconds(1));
    fleet.OnTold(6, clock.Now());
    EXPECT_EQ(fleet.Hosts(clock.Now()), 12) << second;
  }
  clock.Advance(std::chrono::seconds(1));
  fleet.OnTold(6, clock.Now());
  EXPECT_EQ(fleet.Hosts(clock.Now()), 6);
  clock.Advance(std::chrono::minutes(5));
  EXPECT_EQ(fleet.Hosts(clock.Now()), 6) << "the last number stays";
}

TEST(ConcurrencyLimit, RampsUpAndYieldsToShedding) {
  ManualClock clock;
  ConcurrencyLimit limit(6, clock.Now());
  EXPECT_EQ(limit.Limit(), 3);
  for (int i = 0; i < 200; ++i) limit.OnAnswer(clock.Now());
  EXPECT_EQ(limit.Limit(), 6);
  for (int i = 0; i < 10; ++i) limit.OnShed(clock.Now());
  EXPECT_EQ(limit.Limit(), 4) << "one burst of refusals counts once";
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
  const auto before = controller.PolicyOf(work.name);
  for (int i = 0; i < 100; ++i) {
    controller.OnStarted(work.name, std::chrono::milliseconds(50));
    controller.OnEnded(work.name, true);
  }
  controller.Adjust();
  const auto after = controller.PolicyOf(work.name);
  EXPECT_GT(after.weight, before.weight);
  EXPECT_LT(after.patience, before.patience);
  for (int i = 0; i < 200; ++i) controller.Adjust();
  EXPECT_DOUBLE_EQ(controller.PolicyOf(work.name).weight, work.share);
}

/// Against exact counts: no frequent key is missed or overstated.
TEST(HotKeySketch, FindsEveryKeyAboveItsShare) {
  EXPECT_TRUE(rc::check("bounds of Space-Saving", [] {
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
    for (const auto& count : sketch.AtLeast(0)) {
      RC_ASSERT(count.count >= exact[count.hash]);
      RC_ASSERT(count.count - count.error <= exact[count.hash]);
      found[count.hash] = count.count;
    }
    for (const auto& [key, count] : exact) {
      if (count > keys.size() / kCapacity) RC_ASSERT(found.count(key) == 1U);
    }
  }));
}

TEST(IdempotencyCache, RunsAKeyOnceUntilItIsForgotten) {
  ManualClock clock;
  IdempotencyCache memory(2, std::chrono::minutes(1));
  using State = IdempotencyCache::State;
  EXPECT_EQ(memory.Begin("a", clock.Now()).state, State::kNew);
  EXPECT_EQ(memory.Begin("a", clock.Now()).state, State::kRunning);
  memory.Answer("a", CachedResponse{200, "text/plain", "yes"});
  const auto found = memory.Begin("a", clock.Now());
  EXPECT_EQ(found.state, State::kAnswered);
  EXPECT_EQ(found.answer->body, "yes");
  memory.Begin("b", clock.Now());
  memory.Forget("b");
  EXPECT_EQ(memory.Begin("b", clock.Now()).state, State::kNew);
  clock.Advance(std::chrono::minutes(1));
  EXPECT_EQ(memory.Begin("a", clock.Now()).state, State::kNew);
}

}  // namespace
}  // namespace currantbeam
