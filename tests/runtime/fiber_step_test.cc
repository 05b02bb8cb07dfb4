#include "runtime/fiber_step.h"

#include <gtest/gtest.h>

#include <stdexcept>

#include "fiber_test.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

// It ended the process, and with it the requests of all other fibers.
TEST(FiberStep, AnExceptionEndsItsFiberAlone) {
  ManualClock clock;
  FiberLoop loop(clock);
  bool has_ended = false;
  RunInFiber(
      loop,
      [&] {
        loop.Spawn([&] {
          SleepFor(milliseconds(20));
          has_ended = true;
        });
        loop.Spawn([] { throw std::runtime_error("unforeseen"); });
        SleepFor(milliseconds(100));
      },
      1);
  EXPECT_TRUE(has_ended);
}

TEST(FiberStep, WorkThatIsRepeatedGoesOnAfterAStepThatThrows) {
  ManualClock clock;
  FiberLoop loop(clock);
  int steps = 0;
  RunInFiber(
      loop,
      [&] {
        loop.Spawn([&] {
          while (true) {
            TryStep("test", [&] {
              if (++steps == 2) throw std::runtime_error("unforeseen");
            });
            SleepFor(milliseconds(10));
          }
        });
        SleepFor(milliseconds(95));
      },
      1);
  EXPECT_EQ(steps, 10);
}

TEST(FiberStep, PassesOnThatTheLoopHasStopped) {
  FiberLoop loop;
  bool is_caught = false;
  RunInFiber(loop, [&] {
    loop.Spawn([&] {
      TryStep("test", [] { SleepFor(std::chrono::hours(1)); });
      is_caught = true;
    });
  });
  EXPECT_FALSE(is_caught);
}

}  // namespace
}  // namespace currantbeam
