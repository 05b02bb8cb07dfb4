#include "router/serving_check.h"

#include <gtest/gtest.h>

#include "fiber_test.h"
#include "router/make_entry.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Servers whose responses take some time.
class SlowServers : public ServerHealthClient {
 public:
  explicit SlowServers(ManualClock& clock) : clock(clock) {}
  auto Serves(const BackendEntry& /*server*/, milliseconds /*timeout*/)
      -> bool override {
    ++this->calls;
    SleepFor(milliseconds(1));
    this->clock.Advance(milliseconds(300));
    return this->serve;
  }

  ManualClock& clock;
  bool serve = true;
  int calls = 0;
};

/// A host with one server, whose copy of the table is as old as the test says.
class ServingCheckTest : public testing::Test {
 protected:
  ServingCheckTest() {
    this->clock.Advance(seconds(100));
    this->directory.Apply(MakeEntry("a", 1));
    this->target = this->directory.Find(ServerId("a"));
  }
  /// @return whether a request may be sent, after the server was asked if
  ///   needed.
  auto Confirm() -> bool {
    bool result = false;
    FiberLoop loop;
    RunInFiber(loop, [&] {
      result = this->check.Confirm(this->target, milliseconds(400));
    });
    return result;
  }

  ManualClock clock;
  BackendDirectory directory{this->clock};
  BackendTargetPtr target;
  SlowServers servers{this->clock};
  TableStatus copy;
  ServingCheck check{this->clock, this->directory, this->servers,
                     [this] { return this->copy; }, seconds(2)};
};

TEST_F(ServingCheckTest, AsksNoServerWhileTheCopyIsRecent) {
  this->copy.age = milliseconds(999);
  EXPECT_TRUE(this->Confirm());
  EXPECT_EQ(this->servers.calls, 0);
}

TEST_F(ServingCheckTest, CountsTheWordOfAServerFromWhenItWasAsked) {
  this->copy.age = milliseconds(1000);
  EXPECT_TRUE(this->Confirm());
  this->clock.Advance(milliseconds(699));
  EXPECT_TRUE(this->check.IsKnownToServe(*this->target));
  this->clock.Advance(milliseconds(1));
  EXPECT_FALSE(this->check.IsKnownToServe(*this->target));
}

TEST_F(ServingCheckTest, EjectsAServerThatDoesNotSayThatItServes) {
  this->copy.age = milliseconds(1000);
  this->servers.serve = false;
  EXPECT_FALSE(this->Confirm());
  EXPECT_TRUE(this->target->load.IsEjected(this->clock.Now()));
}

TEST_F(ServingCheckTest, AsksAServerWhoseEntryIsMissingOrHeldBack) {
  this->directory.OnStoreRecovered(this->clock.Now());
  this->directory.Remove(ServerId("a"));
  EXPECT_FALSE(this->check.IsKnownToServe(*this->target));
  EXPECT_TRUE(this->Confirm());
  EXPECT_EQ(this->servers.calls, 1);
}

TEST_F(ServingCheckTest, ReliesOnNoServersBeyondTheBoundUnlessCutOff) {
  this->copy.age = milliseconds(1800);
  EXPECT_FALSE(this->Confirm());
  EXPECT_EQ(this->servers.calls, 0);
  this->copy.is_cut_off = true;
  EXPECT_TRUE(this->Confirm());
}

}  // namespace
}  // namespace currantbeam
