#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "boot_settings.h"
#include "platform_grant_client.h"
#include "platform_schema.h"
#include "router/router.h"
#include "standins/wire/wire_backend.h"
#include "standins/wire/wire_store.h"
#include "table_store_client.h"

namespace currantbeam {

/// Settings that a test hands out once.
class FixedSettings : public SettingsSource {
 public:
  auto Poll() -> std::optional<RouterSettings> override { return std::nullopt; }
};

/// One router process with its store and backend servers, all on loopback
/// ports of this process. Everything but the router runs on one loop, on
/// which the test's body runs as well.
class WireFleet {
 public:
  /// @param base_port  the first of 20 ports.
  explicit WireFleet(std::uint16_t base_port);

  /// Runs the body in a fiber once the router is ready, then stops it.
  auto Run(const std::function<void()>& body) -> void;

  [[nodiscard]] auto Store() -> WireStore& { return this->store; }
  /// @return the server of that number: 0 and 1 serve `plain`, 2 and 3
  ///   `keyed`.
  [[nodiscard]] auto Backend(int number) -> WireBackend& {
    return *this->backends[number];
  }
  /// Writes the server's entry.
  auto Register(int number, bool is_draining = false) -> void;
  /// Writes an entry of a server that has gone, and whose address a server of
  /// the fleet has now.
  auto RegisterGhost(const std::string& id, const std::string& service, int at)
      -> void;
  auto Unregister(int number) -> void;
  auto PutRoutes(int version, const std::string& extra_route = "") -> void;
  /// Tells the router to stop; returns at once.
  auto StopRouter() -> void { this->router->RequestStop(); }
  [[nodiscard]] auto HasRouterEnded() const -> bool {
    return this->router_ended;
  }

  /// Sends one request to the router on a connection of its own.
  auto Send(const std::string& path, const std::string& id,
            http::verb method = http::verb::get, int key = -1,
            std::chrono::milliseconds deadline =
                std::chrono::milliseconds(2000)) -> HttpResponse;
  /// Sends bytes to the router and returns all it answers until it closes.
  /// @param between  done before `rest` is sent.
  auto SendRaw(
      const std::string& bytes, const std::function<void()>& between = [] {},
      const std::string& rest = "") -> std::string;
  /// How long the router may take to stop; call before Run.
  auto SetStopGrace(std::chrono::milliseconds grace) -> void {
    this->settings.stop_grace = grace;
  }
  [[nodiscard]] auto CallersPort() const -> std::uint16_t {
    return this->settings.callers.port;
  }
  [[nodiscard]] auto IsReady() -> bool;
  /// @return what the router's metrics address answers.
  [[nodiscard]] auto Metrics() -> std::string;
  /// Waits until the condition holds.
  /// @return false if it did not within 10 s.
  static auto Await(const std::function<bool()>& condition) -> bool;
  [[nodiscard]] auto RunsOf(const std::string& id) const -> int;

 private:
  auto PutEntry(const std::string& id, const std::string& service, int at,
                const std::string& state) -> void;

  FiberLoop loop;
  RouterSettings settings;
  WireStore store;
  std::vector<std::unique_ptr<WireBackend>> backends;
  std::vector<std::unique_ptr<HttpServer>> ports;
  FixedSettings fixed;
  PlatformSchema schema;
  PlatformGrantClient grants;
  std::unique_ptr<TableStoreClient> client;
  std::unique_ptr<RouterProcess> router;
  std::atomic<bool> router_ended{false};
};

}  // namespace currantbeam
