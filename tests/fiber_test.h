#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Runs a test's body in a fiber of the loop, then stops the loop.
/// @param expected_failures  how many steps of fibers throw; empty for any
///   number.
inline auto RunInFiber(FiberLoop& loop, const std::function<void()>& body,
                       std::optional<std::uint64_t> expected_failures = 0)
    -> void {
  const auto failures_before = FailedSteps();
  // A new thread, so that the test starts with an empty ConnectionPool, which
  // is thread-local.
  std::thread thread([&] {
    loop.Spawn([&] {
      try {
        body();
      } catch (const std::exception& error) {
        ADD_FAILURE() << error.what();
      }
      loop.Stop();
    });
    loop.Run();
  });
  thread.join();
  const auto failures = FailedSteps() - failures_before;
  EXPECT_EQ(failures, expected_failures.value_or(failures));
}

/// @return options of an HTTP server that listens on localhost.
inline auto LocalServerOptions(std::uint16_t port) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = "127.0.0.1";
  options.port = port;
  return options;
}

}  // namespace currantbeam
