#pragma once

#include <functional>
#include <string>
#include <thread>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Runs a test's body in a fiber of the loop.
inline auto RunInFiber(FiberLoop& loop, const std::function<void()>& body)
    -> void {
  // A thread of its own, since pools of connections belong to a thread.
  std::thread thread([&] {
    loop.Spawn([&] {
      body();
      loop.Stop();
    });
    loop.Run();
  });
  thread.join();
}

/// An HTTP server on a port of the test's own.
inline auto LocalOptions(std::uint16_t port) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = "127.0.0.1";
  options.port = port;
  return options;
}

}  // namespace currantbeam
