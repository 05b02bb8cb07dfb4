#include <gtest/gtest.h>

#include <deque>
#include <string>

#include "router/make_entry.h"
#include "router/router.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

TEST(BackendChooser, PrefersNearServersMoreStronglyForDownloads) {
  ManualClock clock;
  BackendDirectory directory(clock);
  directory.Apply(MakeEntry("near", 1));
  auto far = MakeEntry("far", 2);
  far.domain = FailureDomain("y");
  directory.Apply(far);
  BackendChooser chooser(clock, FailureDomain("x"));
  const auto choose = [&](RequestKind kind) {
    return chooser.Choose(directory.Ready(ServiceName("s")), kind, {})
        ->entry.id;
  };
  EXPECT_EQ(choose(RequestKind::kIdempotent), ServerId("near"));
  const auto near = directory.Find(ServerId("near"));
  for (int i = 0; i < 2; ++i) near->load.OnSent();
  EXPECT_EQ(choose(RequestKind::kIdempotent), ServerId("far"));
  EXPECT_EQ(choose(RequestKind::kDownload), ServerId("near"));
}

TEST(BackendChooser, SkipsServersThatWereTriedOrAreFull) {
  ManualClock clock;
  BackendDirectory directory(clock);
  directory.Apply(MakeEntry("a", 1));
  directory.Apply(MakeEntry("b", 2));
  BackendChooser chooser(clock, FailureDomain("x"));
  const auto& servers = directory.Ready(ServiceName("s"));
  const auto kind = RequestKind::kIdempotent;
  EXPECT_EQ(chooser.Choose(servers, kind, {ServerId("a")})->entry.id,
            ServerId("b"));
  const auto b = directory.Find(ServerId("b"));
  while (b->load.HasCapacity()) b->load.OnSent();
  EXPECT_EQ(chooser.Choose(servers, kind, {ServerId("a")}), nullptr);
}

TEST(BackendChooser, FindsTheOnlyAvailableServerAmongThousands) {
  constexpr int kServers = 2000;
  ManualClock clock;
  BackendDirectory directory(clock);
  for (int i = 0; i < kServers; ++i) {
    directory.Apply(MakeEntry("s" + std::to_string(i), i));
  }
  const auto& servers = directory.Ready(ServiceName("s"));
  const auto free = directory.Find(ServerId("s1234"));
  for (const auto& target : servers) {
    while (target != free && target->load.HasCapacity()) target->load.OnSent();
  }
  BackendChooser chooser(clock, FailureDomain("x"));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(chooser.Choose(servers, RequestKind::kIdempotent, {}), free);
  }
}

/// Servers of three speeds in four failure domains, where one gateway of many
/// measures only a few responses of each server.
TEST(BackendChooser, KeepsMostRequestsNearWhereThereAreManyServers) {
  constexpr int kServers = 156;
  constexpr int kDomains = 4;
  constexpr int kRequests = 3000;
  constexpr std::size_t kInFlight = 10;
  const auto latency_of = [](int port) {
    return milliseconds(400 + 400 * (port % 3));
  };
  ManualClock clock;
  BackendDirectory directory(clock);
  directory.SetGateways(80);
  for (int i = 0; i < kServers; ++i) {
    auto entry = MakeEntry("s" + std::to_string(i), i);
    entry.domain = FailureDomain(std::to_string(i * kDomains / kServers));
    directory.Apply(entry);
  }
  BackendChooser chooser(clock, FailureDomain("0"));
  std::deque<BackendTargetPtr> in_flight;
  int far = 0;
  for (int i = 0; i < kRequests; ++i) {
    clock.Advance(milliseconds(80));
    const auto target = chooser.Choose(directory.Ready(ServiceName("s")),
                                       RequestKind::kNonIdempotent, {});
    ASSERT_NE(target, nullptr);
    far += target->entry.domain == FailureDomain("0") ? 0 : 1;
    target->load.OnSent();
    in_flight.push_back(target);
    if (in_flight.size() <= kInFlight) continue;
    const auto done = in_flight.front();
    in_flight.pop_front();
    done->load.OnResponse(clock.Now(), latency_of(done->entry.port),
                          milliseconds(2500));
  }
  // Three quarters of the servers are in other failure domains.
  EXPECT_LT(far, kRequests / 5);
}

}  // namespace
}  // namespace currantbeam
