#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "keys/keys.h"
#include "keys/test_servers.h"

namespace currantbeam {
namespace {

TEST(ShareLoad, GivesFastServersMostWhileThereIsLittleToDo) {
  using std::chrono::milliseconds;
  const std::vector<ServerCapacity> servers = {{4, milliseconds(50)},
                                               {4, milliseconds(120)}};
  const auto little = ShareLoad(servers, 20);
  const auto much = ShareLoad(servers, 100);
  EXPECT_GT(little[0], 0.85);
  EXPECT_GT(little[0], much[0]);
  // At the limit both do what they can: 80 and 33 a second.
  EXPECT_NEAR(much[0], 0.7, 0.06);
  EXPECT_NEAR(little[0] + little[1], 1, 1e-9);
}

/// Plays the load of a service with servers of three speeds against a simple
/// baseline, an equal part for each: what counts is the mean latency.
TEST(ShareLoad, BeatsEqualPartsAtEveryLoad) {
  using std::chrono::milliseconds;
  std::vector<ServerCapacity> servers;
  for (const int time : {48, 76, 127}) {
    for (int i = 0; i < 5; ++i) servers.push_back({4, milliseconds(time)});
  }
  // Latency of one server at a rate, as M/M/1 with a pooled worker; another
  // model than the one that the code goes by.
  const auto latency = [](const ServerCapacity& server, double rate) {
    const double time =
        std::chrono::duration<double>(server.service_time).count();
    const double free = 1 - rate * time / server.slots;
    return free <= 0 ? 10.0 : time + time / server.slots * (1 - free) / free;
  };
  for (const double rate : {50.0, 200.0, 400.0, 600.0}) {
    const auto parts = ShareLoad(servers, rate);
    double shared = 0;
    double equal = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      shared += parts[i] * latency(servers[i], parts[i] * rate);
      equal += latency(servers[i], rate / 15) / 15;
    }
    EXPECT_LT(shared, equal) << rate;
  }
}

TEST(LoadReport, ComesBackFromItsStoredForm) {
  LoadRecorder recorder;
  const ServiceName service("s");
  for (int i = 0; i < 5; ++i) recorder.OnRequest(service, 7);
  recorder.OnRequest(service, 8);
  recorder.OnResponse(service, ServerId("a"), std::chrono::milliseconds(30));
  ManualClock clock;
  const auto report =
      recorder.TakeReport(HostId("h"), "1.2.3.4:5", clock.Now());
  const auto back = LoadReport::Decode(report.Encode());
  EXPECT_EQ(back.host, HostId("h"));
  EXPECT_EQ(back.endpoint, "1.2.3.4:5");
  const auto& load = back.services.at(service);
  EXPECT_EQ(load.requests, (std::map<int, int>{{7, 5}, {8, 1}}));
  EXPECT_EQ(load.other_requests, 0);
  EXPECT_EQ(load.latencies_ms.at(ServerId("a")), std::vector<int>{30});
  EXPECT_THROW(LoadReport::Decode("x"), InputError);
}

TEST(LoadAggregator, WeighsServersByTheSpeedThatTheyShow) {
  LoadAggregator view(64);
  ManualClock clock;
  auto servers = MakeServers(3);
  const std::vector<int> slots(3, 4);
  view.SetWeights(servers, slots, clock.Now());
  EXPECT_EQ(servers[0].weight, servers[2].weight);
  for (int round = 0; round < 50; ++round) {
    ServiceLoad load;
    load.other_requests = 30;
    load.latencies_ms[ServerId("s0")] = {40, 45, 50, 300};
    load.latencies_ms[ServerId("s1")] = {80, 85, 90, 600};
    load.latencies_ms[ServerId("s2")] = {160, 170, 180, 900};
    view.Add(load);
    clock.Advance(std::chrono::milliseconds(500));
    view.UpdateRates(clock.Now());
  }
  view.SetWeights(servers, slots, clock.Now());
  EXPECT_GT(servers[0].weight, 1.3 * servers[1].weight);
  EXPECT_GT(servers[1].weight, 1.3 * servers[2].weight);
}

TEST(LoadAggregator, TellsBusyStripesFromAllOthers) {
  LoadAggregator view(64);
  ManualClock clock;
  EXPECT_TRUE(view.StripeLoads().empty());
  for (int round = 0; round < 10; ++round) {
    ServiceLoad load;
    load.requests[5] = 20;
    load.requests[6] = 2;
    load.other_requests = 30;
    view.Add(load);
    clock.Advance(std::chrono::milliseconds(500));
    view.UpdateRates(clock.Now());
  }
  const auto loads = view.StripeLoads();
  EXPECT_NEAR(loads[5], 40, 4);
  EXPECT_EQ(loads[6], loads[0]);
}

/// Many servers of the same speed get little each, one request in ten is cheap,
/// and a few servers happen to get a cheap one first.
TEST(LoadAggregator, GivesLikeServersLikePartsWhenSomeRequestsAreCheap) {
  constexpr int kServers = 250;
  constexpr int kRounds = 60;
  constexpr int kRequestsPerRound = 400;
  std::mt19937 random(1);
  std::uniform_int_distribution<int> any_server(0, kServers - 1);
  std::uniform_int_distribution<int> usual_ms(300, 800);
  std::bernoulli_distribution is_cheap(0.1);
  LoadAggregator view(2048);
  ManualClock clock;
  auto servers = MakeServers(kServers);
  const std::vector<int> slots(kServers, 6);
  for (int round = 0; round < kRounds; ++round) {
    ServiceLoad load;
    load.other_requests = kRequestsPerRound;
    for (int i = 0; i < kRequestsPerRound; ++i) {
      const auto& id = servers[any_server(random)].owner.id;
      const int latency = is_cheap(random) ? 4 : usual_ms(random);
      load.latencies_ms[id].push_back(latency);
    }
    view.Add(load);
    clock.Advance(std::chrono::milliseconds(500));
    view.UpdateRates(clock.Now());
    view.SetWeights(servers, slots, clock.Now());
  }
  double sum = 0;
  for (const auto& server : servers) sum += server.weight;
  for (const auto& server : servers) {
    const double times_even = server.weight / sum * kServers;
    EXPECT_LT(times_even, 2) << server.owner.id.Value();
    EXPECT_GT(times_even, 0.3) << server.owner.id.Value();
  }
}

}  // namespace
}  // namespace currantbeam
