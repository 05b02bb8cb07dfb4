#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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

/// Settings that never change.
class UnchangingSettings : public SettingsSource {
 public:
  auto Poll() -> std::optional<RouterSettings> override { return std::nullopt; }
};

/// RouterProcesses with stand-ins for the store and the backend servers, all on
/// loopback ports of the test process. Each router runs on a thread of its own;
/// the stand-ins and the test's body run on one loop. Where a method says "the
/// router", it means the first one.
class WireFleet {
 public:
  /// @param base_port  the first of 20 consecutive ports.
  /// @param router_count  router number i listens on 127.0.0.(i + 1).
  explicit WireFleet(std::uint16_t base_port, int router_count = 1);

  /// Runs the body in a fiber once the routers are ready, then stops them.
  auto Run(const std::function<void()>& body) -> void;

  [[nodiscard]] auto Store() -> WireStore& { return this->store; }
  /// @return the server with this number: 0 and 1 serve `plain`, 2 and 3 serve
  ///   `keyed`.
  [[nodiscard]] auto Backend(int number) -> WireBackend& {
    return *this->backends[number];
  }
  /// Writes the server's entry to the backends table.
  auto Register(int number, bool is_draining = false) -> void;
  /// Writes the entry of a server that no longer exists and whose address is
  /// that of server number `port_index`.
  auto RegisterStaleEntry(const std::string& id, const std::string& service,
                          int port_index) -> void;
  /// Stops the server with this number like the end of its process, which
  /// breaks off its connections and refuses new ones.
  auto EndServer(int number) -> void;
  /// Starts a server that has ended, as a new process.
  auto RestartServer(int number) -> void;
  /// Removes the server's entry.
  auto Unregister(int number) -> void;
  auto PutRoutes(int version, const std::string& extra_route = "") -> void;
  /// Requests the router to stop; does not wait for it.
  auto StopRouter() -> void { this->routers.front()->process->RequestStop(); }
  [[nodiscard]] auto HasRouterStopped() const -> bool {
    return this->has_router_stopped;
  }

  /// Sends one request to a router on a new connection.
  /// @param key  sent as the shard key unless it is negative.
  /// @param router  number of the router.
  auto Send(
      const std::string& path, const std::string& id,
      http::verb method = http::verb::get, int key = -1,
      std::chrono::milliseconds deadline = std::chrono::milliseconds(2000),
      int router = 0) -> HttpResponse;
  /// Sends bytes to the router.
  /// @param between  called before `rest` is sent.
  /// @return all that the router sends until it closes the connection.
  auto SendRaw(
      const std::string& bytes, const std::function<void()>& between = [] {},
      const std::string& rest = "") -> std::string;
  /// Sets the router's stop grace; to be called before Run.
  auto SetStopGrace(std::chrono::milliseconds grace) -> void {
    this->settings.stop_grace = grace;
  }
  [[nodiscard]] auto CallersPort() const -> std::uint16_t {
    return this->settings.callers.port;
  }
  /// Sends a message to the router as another host.
  /// @return the status of the response; nothing if there was none.
  auto SendPeerMessage(const std::string& path, const std::string& body)
      -> std::optional<unsigned>;
  /// @param router  number of the router.
  [[nodiscard]] auto IsReady(int router = 0) -> bool;
  /// @return the router's metrics page.
  [[nodiscard]] auto Metrics() -> std::string;
  /// Waits until the condition holds.
  /// @return false if it does not hold within 10 s.
  static auto Await(const std::function<bool()>& condition) -> bool;
  /// @return how often the servers together ran the request with this id.
  [[nodiscard]] auto RunCount(const std::string& id) const -> int;

 private:
  /// A router with clients of its own, as they are used on its thread.
  struct Router {
    explicit Router(const Endpoint& store) : client(store) {}

    TableStoreClient client;
    PlatformGrantClient grants;
    std::unique_ptr<RouterProcess> process;
  };

  auto ListenAsServer(int number) -> void;
  /// @return the settings of the router with this number.
  [[nodiscard]] auto SettingsOf(int router) const -> RouterSettings;
  auto PutEntry(const std::string& id, const std::string& service,
                int port_index, const std::string& state) -> void;

  FiberLoop loop;
  RouterSettings settings;
  std::map<std::string, int> starts;  ///< Restarts of each server, by id.
  std::set<std::string> draining;     ///< Servers that reported draining.
  int entry_count = 0;
  WireStore store;
  std::vector<std::unique_ptr<WireBackend>> backends;
  std::vector<std::unique_ptr<HttpServer>> servers;
  /// Those that have ended; their connections may still be closing.
  std::vector<std::unique_ptr<HttpServer>> ended_servers;
  UnchangingSettings settings_source;
  PlatformSchema schema;
  int router_count;
  std::vector<std::unique_ptr<Router>> routers;
  std::atomic<bool> has_router_stopped{false};
};

}  // namespace currantbeam
