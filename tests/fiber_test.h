#pragma once

#include <functional>
#include <string>
#include <thread>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Runs a test's body in a fiber of the loop, then stops the loop.
inline auto RunInFiber(FiberLoop& loop, const std::function<void()>& body)
    -> void {
  // A new thread, so that the test starts with an empty ConnectionPool, which
  // is thread-local.
  std::thread thread([&] {
    loop.Spawn([&] {
      body();
      loop.Stop();
    });
    loop.Run();
  });
  thread.join();
}

/// @return options of an HTTP server that listens on localhost.
inline auto LocalServerOptions(std::uint16_t port) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = "127.0.0.1";
  options.port = port;
  return options;
}

}  // namespace currantbeam
