#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/cbor.h"
#include "policy/policy.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestFingerprint kDeadly = 7;
constexpr RequestFingerprint kInnocent = 8;

auto Process(int number) -> ServerProcess {
  return {ServerId("i-" + std::to_string(number)), milliseconds(1)};
}

class Quarantine : public testing::Test {
 protected:
  /// Ends servers that run the request, one every 100 ms.
  auto EndServers(int first, int last, RequestFingerprint request = kDeadly)
      -> void {
    for (int i = first; i <= last; ++i) {
      this->now += milliseconds(100);
      this->quarantine.OnServerEnded(Process(i), request, this->now);
    }
  }
  auto Wait(Duration time) -> void {
    this->now += time;
    this->quarantine.Expire(this->now);
  }
  [[nodiscard]] auto MayRun(RequestFingerprint request) const -> bool {
    return !this->quarantine.TimeUntilRelease(request, this->now);
  }

  TimePoint now{seconds(1000)};
  RequestQuarantine quarantine;
};

TEST_F(Quarantine, RefusesARequestUnderWhichThreeServersEnded) {
  this->EndServers(1, 2);
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->EndServers(3, 3);
  EXPECT_EQ(this->quarantine.TimeUntilRelease(kDeadly, this->now),
            Duration(kFirstQuarantine));
  EXPECT_TRUE(this->MayRun(kInnocent));
}

TEST_F(Quarantine, CountsEachServerProcessOnce) {
  for (int i = 0; i < 5; ++i) this->EndServers(1, 1);
  EXPECT_TRUE(this->MayRun(kDeadly));
  const ServerProcess restarted{ServerId("i-1"), milliseconds(2)};
  this->quarantine.OnServerEnded(restarted, kDeadly, this->now);
  this->EndServers(2, 2);
  EXPECT_FALSE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, ClearsARequestThatOnlyRanBesideTheDeadlyOne) {
  for (int i = 1; i <= 6; ++i) {
    this->EndServers(i, i, kInnocent);
    this->EndServers(i, i, kDeadly);
    this->quarantine.OnAnswered(kInnocent);
  }
  EXPECT_TRUE(this->MayRun(kInnocent));
  EXPECT_FALSE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, EndsAtOnceIfAServerAnswersTheRequest) {
  this->EndServers(1, 3);
  this->quarantine.OnAnswered(kDeadly);
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->EndServers(4, 5);
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->EndServers(6, 6);
  EXPECT_FALSE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, DoesNotCountAServerThatRefusedAConnectionAndAnswersLater) {
  this->EndServers(1, 2);
  this->quarantine.OnServerAlive(Process(1), this->now + milliseconds(50));
  this->EndServers(3, 3);
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->EndServers(4, 4);
  EXPECT_FALSE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, CountsAServerThatAnswersAfterItHasStartedAgain) {
  this->EndServers(1, 1, kInnocent);
  this->quarantine.OnServerAlive(Process(1), this->now + seconds(2));
  EXPECT_TRUE(this->quarantine.IsSuspect(kInnocent));
}

TEST_F(Quarantine, DiscardsOldEvidence) {
  this->EndServers(1, 2);
  this->Wait(kServerEndRetention);
  EXPECT_TRUE(this->quarantine.IsIdle());
  this->EndServers(3, 3);
  EXPECT_TRUE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, LastsTwiceAsLongAfterAFurtherEnd) {
  this->EndServers(1, 3);
  Duration expected = kFirstQuarantine;
  for (int i = 4; i < 12; ++i) {
    EXPECT_EQ(this->quarantine.TimeUntilRelease(kDeadly, this->now), expected);
    this->Wait(expected);
    EXPECT_TRUE(this->MayRun(kDeadly));
    this->EndServers(i, i);
    expected = std::min<Duration>(expected * 2, kMaxQuarantine);
  }
}

TEST_F(Quarantine, IsNotRenewedByServersThatEndedBeforeItsRelease) {
  this->EndServers(1, 3);
  this->Wait(seconds(30));
  this->EndServers(4, 4);
  this->Wait(seconds(30));
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->quarantine.Merge(this->quarantine.State(this->now), this->now);
  EXPECT_TRUE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, IsForgottenSomeTimeAfterItsRelease) {
  this->EndServers(1, 3);
  this->Wait(2 * kFirstQuarantine);
  EXPECT_TRUE(this->quarantine.IsIdle());
  this->EndServers(4, 4);
  EXPECT_TRUE(this->MayRun(kDeadly));
}

TEST_F(Quarantine, KeepsABoundedNumberOfEntries) {
  for (int i = 0; i < 1000; ++i) {
    const auto request = RequestFingerprint{100} + i;
    this->EndServers(3 * i, 3 * i + 2, request);
  }
  for (int i = 0; i < 1000; ++i) {
    this->quarantine.OnServerEnded(Process(-1), 5000U + i, this->now);
  }
  const auto state = this->quarantine.State(this->now);
  std::size_t suspects = 0;
  for (const auto& end : state.ends) {
    EXPECT_LE(end.suspects.size(), kMaxSuspectsPerServer);
    suspects += end.suspects.size();
  }
  EXPECT_LE(suspects, kMaxSuspects);
  EXPECT_EQ(state.quarantined.size(), kMaxQuarantined);
  EXPECT_FALSE(this->MayRun(1099));
  EXPECT_TRUE(this->MayRun(100));
}

TEST_F(Quarantine, CombinesTheEvidenceOfSeveralHosts) {
  RequestQuarantine other;
  other.OnServerEnded(Process(1), kDeadly, this->now);
  other.OnServerEnded(Process(2), kDeadly, this->now);
  this->EndServers(2, 2);
  this->quarantine.Merge(other.State(this->now), this->now);
  EXPECT_TRUE(this->MayRun(kDeadly));
  this->EndServers(3, 3);
  other.Merge(this->quarantine.State(this->now), this->now);
  EXPECT_TRUE(other.TimeUntilRelease(kDeadly, this->now));
}

TEST_F(Quarantine, IsClearedByAnAnswerAtAnotherHost) {
  RequestQuarantine other;
  this->EndServers(1, 3);
  other.Merge(this->quarantine.State(this->now), this->now);
  other.OnAnswered(kDeadly);
  this->quarantine.Merge(other.State(this->now), this->now);
  EXPECT_TRUE(this->MayRun(kDeadly));
  other.Merge(this->quarantine.State(this->now), this->now);
  EXPECT_FALSE(other.TimeUntilRelease(kDeadly, this->now));
}

TEST_F(Quarantine, EndsInTimeAlthoughMessagesAreDelayed) {
  RequestQuarantine other;
  this->EndServers(1, 3);
  const auto until = this->now + kFirstQuarantine;
  const auto delay = milliseconds(300);
  while (this->now < until + seconds(1)) {
    const auto sent = this->quarantine.State(this->now);
    this->Wait(delay);
    other.Expire(this->now);
    other.Merge(sent, this->now);
    const auto reply = other.State(this->now);
    this->Wait(delay);
    this->quarantine.Merge(reply, this->now);
  }
  EXPECT_TRUE(this->MayRun(kDeadly));
  EXPECT_FALSE(other.TimeUntilRelease(kDeadly, this->now));
}

TEST_F(Quarantine, SuspectsARequestUntilAServerAnswersIt) {
  EXPECT_FALSE(this->quarantine.IsSuspect(kDeadly));
  this->EndServers(1, 1);
  EXPECT_TRUE(this->quarantine.IsSuspect(kDeadly));
  EXPECT_FALSE(this->quarantine.IsSuspect(kInnocent));
  this->quarantine.OnAnswered(kDeadly);
  EXPECT_FALSE(this->quarantine.IsSuspect(kDeadly));
}

TEST_F(Quarantine, SuspectsARequestAfterItsRelease) {
  this->EndServers(1, 3);
  this->Wait(kFirstQuarantine);
  EXPECT_TRUE(this->MayRun(kDeadly));
  EXPECT_TRUE(this->quarantine.IsSuspect(kDeadly));
}

TEST(TrialPermits, LetOneRepetitionRunAtATime) {
  TrialPermits permits;
  const TimePoint now{seconds(1000)};
  EXPECT_TRUE(permits.Acquire(kDeadly, seconds(2), now));
  EXPECT_FALSE(permits.Acquire(kDeadly, seconds(2), now + seconds(1)));
  EXPECT_TRUE(permits.Acquire(kInnocent, seconds(2), now));
  permits.Release(kDeadly);
  EXPECT_TRUE(permits.Acquire(kDeadly, seconds(2), now + seconds(1)));
  EXPECT_TRUE(permits.Acquire(kDeadly, seconds(2), now + seconds(3)));
  EXPECT_EQ(permits.Size(), 1U);
}

/// A host of the merge test: what it observed in a random order.
auto ArbitraryState(TimePoint now) -> QuarantineState {
  RequestQuarantine host;
  const int steps = *rc::gen::inRange(0, 12);
  for (int i = 0; i < steps; ++i) {
    const auto request =
        static_cast<RequestFingerprint>(*rc::gen::inRange(1, 4));
    if (*rc::gen::inRange(0, 4) == 0) {
      host.OnAnswered(request);
    } else {
      host.OnServerEnded(Process(*rc::gen::inRange(1, 6)), request, now);
    }
  }
  return host.State(now);
}

TEST(QuarantineMerge, HasTheSameResultForAllOrdersOfStatesWithoutAnswers) {
  EXPECT_TRUE(rc::check("the order of merges does not matter", [] {
    const TimePoint now{seconds(1000)};
    std::vector<QuarantineState> states(3);
    for (auto& state : states) state = ArbitraryState(now);
    RequestQuarantine forwards;
    RequestQuarantine backwards;
    for (const auto& state : states) forwards.Merge(state, now);
    std::reverse(states.begin(), states.end());
    for (const auto& state : states) backwards.Merge(state, now);
    // Each of the two sends its state to the other one.
    const auto sent = forwards.State(now);
    forwards.Merge(backwards.State(now), now);
    backwards.Merge(sent, now);
    for (RequestFingerprint request = 1; request < 4; ++request) {
      RC_ASSERT(forwards.TimeUntilRelease(request, now) ==
                backwards.TimeUntilRelease(request, now));
    }
  }));
}

TEST(QuarantineState, RoundTripsThroughEncoding) {
  EXPECT_TRUE(rc::check("decoding reverses encoding", [] {
    const auto state = ArbitraryState(TimePoint{seconds(1000)});
    const auto decoded = QuarantineState::Decode(state.Encode());
    RC_ASSERT(decoded.Encode() == state.Encode());
  }));
}

TEST(QuarantineState, DecodesOrRejectsArbitraryBytes) {
  EXPECT_TRUE(rc::check("decoding throws no other exception", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    try {
      QuarantineState::Decode(bytes);
    } catch (const InputError&) {
    }
  }));
}

TEST(QuarantineState, RejectsValuesOutOfRange) {
  const auto decode = [](const nlohmann::json& json) {
    return QuarantineState::Decode(ToCbor(json));
  };
  const auto none = nlohmann::json::array();
  const auto list = [](const nlohmann::json& entry, std::size_t count) {
    return nlohmann::json(count, entry);
  };
  const nlohmann::json end = {"i-1", 5, 1000, {1, 2}, none};
  const nlohmann::json entry = {1, 1, 1000, false};
  EXPECT_EQ(decode({list(end, 1), list(entry, 1)}).ends.size(), 1U);
  EXPECT_THROW(decode({list(end, kMaxSuspects + 1), none}), InputError);
  EXPECT_THROW(decode({none, list(entry, kMaxQuarantined + 1)}), InputError);
  EXPECT_THROW(decode({list({"i-1", 5, -1, {1}, none}, 1), none}), InputError);
  EXPECT_THROW(decode({none, list({1, 0, 1000, false}, 1)}), InputError);
  EXPECT_THROW(decode({none, list({1, 1, INT64_MAX, false}, 1)}), InputError);
  EXPECT_THROW(decode({none, list({1, 1, INT64_MIN, false}, 1)}), InputError);
}

}  // namespace
}  // namespace currantbeam
