#include <gtest/gtest.h>

#include <exception>
#include <string>
#include <vector>

#include "core/core.h"
#include "fiber_test.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

/// @return the message of the exception that the calling fiber is handling.
auto HandledMessage() -> std::string {
  try {
    std::rethrow_exception(std::current_exception());
  } catch (const Error& error) {
    return error.what();
  }
}

TEST(ExceptionState, FibersThatWaitInHandlersKeepTheirOwnExceptions) {
  ManualClock clock;
  FiberLoop loop(clock);
  std::vector<std::string> handled;
  const auto wait_in_handler = [&](const std::string& name) {
    try {
      throw Error(name);
    } catch (const Error&) {
      SleepFor(milliseconds(20));
      handled.push_back(name + " handles " + HandledMessage());
    }
  };
  RunInFiber(loop, [&] {
    loop.Spawn([&] { wait_in_handler("first"); });
    SleepFor(milliseconds(10));
    loop.Spawn([&] { wait_in_handler("second"); });
    SleepFor(milliseconds(100));
  });
  EXPECT_EQ(handled, (std::vector<std::string>{"first handles first",
                                               "second handles second"}));
}

}  // namespace
}  // namespace currantbeam
