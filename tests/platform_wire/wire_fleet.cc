#include "platform_wire/wire_fleet.h"

#include <array>
#include <boost/asio/write.hpp>

#include "fiber_test.h"
#include "wire.h"

namespace currantbeam {
namespace {

constexpr int kBackendCount = 4;
constexpr auto kAwaitTimeout = std::chrono::seconds(10);
/// How long Send() waits for a response beyond the deadline that it sends.
constexpr auto kExtraWait = std::chrono::seconds(3);
constexpr auto kPollInterval = std::chrono::milliseconds(5);
/// The loop closes a listening socket within this time.
constexpr auto kListenerCloseTime = std::chrono::milliseconds(40);
/// The start of each server's first process, in Unix time.
constexpr std::int64_t kFirstStartMs = 1700000000000;

auto RoutesJson(int version, const std::string& extra_route) -> std::string {
  return R"({"version":)" + std::to_string(version) + R"(,"services":[
    {"name":"plain","healthPath":"/health","maxConns":110,"sharded":false},
    {"name":"keyed","healthPath":"/health","maxConns":110,"sharded":true,
     "warmS":3.0}],
    "limits":{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutS":0.5,
              "idleTimeoutS":5},
    "hosts":[{"host":"h.example","paths":[
      {"name":"r1","prefix":"/safe/","type":"safe","timeoutS":2,
       "latencyTargetS":0.3,"priority":1,"service":"plain","maxAttempts":2},
      {"name":"r2","prefix":"/order/","type":"unsafe","timeoutS":2,
       "latencyTargetS":0.3,"priority":1,"service":"plain","maxAttempts":2},
      {"name":"r3","prefix":"/file/","type":"download","timeoutS":2,
       "latencyTargetS":0.3,"priority":1,"service":"plain","maxAttempts":2},
      {"name":"r4","prefix":"/keyed/","type":"safe","timeoutS":2,
       "latencyTargetS":0.3,"priority":1,"service":"keyed","maxAttempts":2},
      {"name":"r5","prefix":"/short/","type":"safe","timeoutS":0.2,
       "latencyTargetS":0.1,"priority":1,"service":"plain","maxAttempts":1})" +
         extra_route + "]}]}";
}

}  // namespace

WireFleet::WireFleet(std::uint16_t base_port, int router_count)
    : router_count(router_count) {
  this->settings.host = HostId("front-1");
  this->settings.domain = FailureDomain("x");
  this->settings.callers = {"127.0.0.1", base_port};
  this->settings.readiness = {"127.0.0.1",
                              static_cast<std::uint16_t>(base_port + 1)};
  this->settings.store = {"127.0.0.1",
                          static_cast<std::uint16_t>(base_port + 2)};
  this->settings.peers = {"127.0.0.1",
                          static_cast<std::uint16_t>(base_port + 3)};
  this->settings.metrics = {"127.0.0.1",
                            static_cast<std::uint16_t>(base_port + 19)};
  this->settings.stop_grace = std::chrono::milliseconds(1000);
  this->settings.is_first_start = true;
  this->servers.push_back(std::make_unique<HttpServer>(
      LocalServerOptions(this->settings.store.port), this->store));
  for (int i = 0; i < kBackendCount; ++i) {
    this->backends.push_back(
        std::make_unique<WireBackend>("i-" + std::to_string(i)));
    this->backends.back()->behaviour.is_keyed = i >= 2;
    this->servers.push_back(nullptr);
    this->ListenAsServer(i);
    this->Register(i);
  }
  this->PutRoutes(1);
}

auto WireFleet::ListenAsServer(int number) -> void {
  const auto port = this->settings.callers.port + 10 + number;
  this->servers[1 + number] = std::make_unique<HttpServer>(
      LocalServerOptions(static_cast<std::uint16_t>(port)),
      *this->backends[number]);
}

auto WireFleet::EndServer(int number) -> void {
  this->servers[1 + number]->StopAccepting();
  this->servers[1 + number]->CloseIdleConnections();
  SleepFor(kListenerCloseTime);
}

auto WireFleet::RestartServer(int number) -> void {
  this->ended_servers.push_back(std::move(this->servers[1 + number]));
  this->ListenAsServer(number);
  this->servers[1 + number]->Listen(this->loop);
  ++this->starts["i-" + std::to_string(number)];
  this->Register(number);
}

auto WireFleet::SettingsOf(int router) const -> RouterSettings {
  auto settings = this->settings;
  const auto number = std::to_string(router + 1);
  settings.host = HostId("front-" + number);
  for (auto* endpoint : {&settings.callers, &settings.readiness,
                         &settings.peers, &settings.metrics}) {
    endpoint->address = "127.0.0." + number;
  }
  return settings;
}

auto WireFleet::PutEntry(const std::string& id, const std::string& service,
                         int port_index, const std::string& state) -> void {
  const auto port = this->settings.callers.port + 10 + port_index;
  const nlohmann::json entry = {{"service", service},
                                {"addr", "127.0.0.1:" + std::to_string(port)},
                                {"zone", "x"},
                                {"version", "v1"},
                                {"slots", 4},
                                {"state", state},
                                {"coldLeftS", 0},
                                {"seq", ++this->entry_count},
                                {"born", kFirstStartMs + this->starts[id]}};
  this->store.Put({"servers", "", id}, entry.dump());
}

auto WireFleet::Register(int number, bool is_draining) -> void {
  const auto id = "i-" + std::to_string(number);
  // A process that has reported draining ends; another one is ready again.
  if (!is_draining && this->draining.erase(id) != 0) ++this->starts[id];
  if (is_draining) this->draining.insert(id);
  this->PutEntry(id, number < 2 ? "plain" : "keyed", number,
                 is_draining ? "draining" : "ready");
}

auto WireFleet::RegisterStaleEntry(const std::string& id,
                                   const std::string& service, int port_index)
    -> void {
  this->PutEntry(id, service, port_index, "ready");
}

auto WireFleet::Unregister(int number) -> void {
  this->store.Remove({"servers", "", "i-" + std::to_string(number)});
}

auto WireFleet::PutRoutes(int version, const std::string& extra_route) -> void {
  this->store.Put({"op", "", "config"}, RoutesJson(version, extra_route));
}

auto WireFleet::Run(const std::function<void()>& body) -> void {
  std::thread standin_thread([&] {
    for (auto& server : this->servers) server->Listen(this->loop);
    this->loop.Run();
  });
  std::vector<std::thread> router_threads;
  for (int i = 0; i < this->router_count; ++i) {
    this->routers.push_back(std::make_unique<Router>(this->settings.store));
    auto& router = *this->routers.back();
    router.process = std::make_unique<RouterProcess>(
        this->SettingsOf(i),
        RouterDependencies{router.client, router.grants, this->schema,
                           this->settings_source, wire::PlatformHeaders()});
    router_threads.emplace_back([this, i, &router] {
      router.process->Run();
      if (i == 0) this->has_router_stopped = true;
    });
  }
  std::atomic<bool> is_done{false};
  this->loop.Spawn([&] {
    for (int i = 0; i < this->router_count; ++i) {
      Await([&] { return this->IsReady(i); });
    }
    body();
    is_done = true;
  });
  while (!is_done) std::this_thread::sleep_for(kPollInterval);
  for (const auto& router : this->routers) router->process->RequestStop();
  for (auto& thread : router_threads) thread.join();
  this->loop.Stop();
  standin_thread.join();
}

auto WireFleet::Await(const std::function<bool()>& condition) -> bool {
  const auto wait_until = std::chrono::steady_clock::now() + kAwaitTimeout;
  while (std::chrono::steady_clock::now() < wait_until) {
    if (condition()) return true;
    SleepFor(kPollInterval);
  }
  return false;
}

auto WireFleet::Metrics() -> std::string {
  HttpRequest request{http::verb::get, "/metrics", 11};
  return Fetch(this->settings.metrics.address, this->settings.metrics.port,
               std::move(request), std::chrono::milliseconds(2000))
      .body();
}

auto WireFleet::SendPeerMessage(const std::string& path,
                                const std::string& body)
    -> std::optional<unsigned> {
  HttpRequest request{http::verb::post, path, 11};
  request.body() = body;
  try {
    return Fetch(this->settings.peers.address, this->settings.peers.port,
                 std::move(request), std::chrono::milliseconds(2000))
        .result_int();
  } catch (const RequestError&) {
    return std::nullopt;
  }
}

auto WireFleet::IsReady(int router) -> bool {
  const auto readiness = this->SettingsOf(router).readiness;
  try {
    const auto response = Fetch(readiness.address, readiness.port,
                                HttpRequest{http::verb::get, "/ready", 11},
                                std::chrono::milliseconds(1000));
    return response.result() == http::status::ok;
  } catch (const RequestError&) {
    return false;
  }
}

auto WireFleet::Send(const std::string& path, const std::string& id,
                     http::verb method, int key,
                     std::chrono::milliseconds deadline, int router)
    -> HttpResponse {
  HttpRequest request{method, path, 11};
  request.set(http::field::host, "h.example");
  request.set("X-Request-Id", id);
  request.set("X-Deadline-Ms", std::to_string(deadline.count()));
  if (key >= 0) request.set("X-Shard-Key", std::to_string(key));
  if (method == http::verb::post) request.body() = "order";
  request.prepare_payload();
  const auto callers = this->SettingsOf(router).callers;
  HttpConnection connection(callers.address, callers.port);
  connection.Connect(std::chrono::seconds(1));
  HttpResponse response;
  const auto timeout = deadline + kExtraWait;
  response.base() = connection.Exchange(request, timeout);
  while (true) {
    const auto part = connection.ReadBody(timeout);
    if (part.empty()) return response;
    response.body().append(part);
  }
}

auto WireFleet::SendRaw(const std::string& bytes,
                        const std::function<void()>& between,
                        const std::string& rest) -> std::string {
  namespace asio = boost::asio;
  TcpSocket socket(this->loop.Io().get_executor());
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                         this->settings.callers.port);
  currantbeam::Await(
      [&](auto handler) { socket.async_connect(endpoint, handler); });
  currantbeam::Await([&](auto handler) {
    asio::async_write(socket, asio::buffer(bytes), handler);
  });
  between();
  currantbeam::Await([&](auto handler) {
    asio::async_write(socket, asio::buffer(rest), handler);
  });
  std::string received;
  std::array<char, 1024> part{};
  while (true) {
    const auto result = currantbeam::Await([&](auto handler) {
      socket.async_read_some(asio::buffer(part), handler);
    });
    if (result.error) return received;
    received.append(part.data(), result.bytes);
  }
}

auto WireFleet::RunCount(const std::string& id) const -> int {
  int runs = 0;
  for (const auto& backend : this->backends) {
    const auto it = backend->RunCounts().find(id);
    if (it != backend->RunCounts().end()) runs += it->second;
  }
  return runs;
}

}  // namespace currantbeam
