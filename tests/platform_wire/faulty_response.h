#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "fiber_test.h"
#include "platform_wire/scripted_server.h"
#include "platform_wire/wire_fleet.h"
#include "port_block.h"

namespace currantbeam {

/// The index of the scripted server among the fleet's server ports.
inline constexpr int kScriptedIndex = 4;
inline constexpr int kFirstServerPort = 10;

/// @return the head of a response with this request id; an empty one is left
///   out.
inline auto Head(const std::string& status, const std::string& id,
                 const std::string& other_headers) -> std::string {
  return "HTTP/1.1 " + status + "\r\n" +
         (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + other_headers +
         "\r\n";
}

inline auto Success(const std::string& id) -> std::string {
  return Head("200 OK", id, "X-Backend-Seal: seal\r\nContent-Length: 4\r\n") +
         "body";
}

/// A router whose only plain server is a ScriptedServer.
class FaultyResponse : public testing::Test {
 protected:
  /// Runs the body once the router knows the scripted server only.
  auto Run(const ScriptedServer::Script& script,
           const std::function<void()>& body) -> void {
    this->fleet.Run([&] {
      ScriptedServer server(TestPort(kFirstServerPort + kScriptedIndex),
                            script);
      server.Listen();
      this->fleet.Unregister(0);
      this->fleet.Unregister(1);
      ASSERT_TRUE(WireFleet::Await([&] {
        return this->fleet.Send("/safe/a", "none").result_int() == 503;
      }));
      this->fleet.RegisterStaleEntry("i-scripted", "plain", kScriptedIndex);
      ASSERT_TRUE(WireFleet::Await([&] {
        return this->fleet.Metrics().find("currantbeam_servers 3\n") !=
               std::string::npos;
      }));
      body();
    });
  }

  WireFleet fleet{TestPort(0)};
};

}  // namespace currantbeam
