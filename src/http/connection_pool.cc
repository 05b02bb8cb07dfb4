#include "http/connection_pool.h"

#include <algorithm>

namespace currantbeam {
namespace {

constexpr std::size_t kMaxIdlePerEndpoint = 256;
/// Fraction of the peer's idle timeout after which a connection is no longer
/// reused, so that a request doesn't arrive while the peer closes it.
constexpr double kIdleTimeoutFraction = 0.8;
constexpr auto kPruneInterval = std::chrono::seconds(5);

}  // namespace

auto ConnectionPool::Current() -> ConnectionPool& {
  thread_local ConnectionPool pool;
  return pool;
}

auto ConnectionPool::Acquire(const std::string& address, std::uint16_t port,
                             std::chrono::milliseconds timeout,
                             bool tcp_keep_alive)
    -> std::unique_ptr<HttpConnection> {
  auto& connections = this->idle->by_endpoint[{address, port}];
  const auto now = std::chrono::steady_clock::now();
  while (!connections.empty()) {
    auto candidate = std::move(connections.back());
    connections.pop_back();
    if (CanBeUsed(candidate, now)) return std::move(candidate.connection);
  }
  auto connection = std::make_unique<HttpConnection>(address, port);
  connection->Connect(timeout);
  if (tcp_keep_alive) connection->EnableTcpKeepAlive();
  return connection;
}

auto ConnectionPool::AcquireIdle(const std::string& address, std::uint16_t port,
                                 ConnectionNumber max_number)
    -> std::unique_ptr<HttpConnection> {
  auto& connections = this->idle->by_endpoint[{address, port}];
  const auto now = std::chrono::steady_clock::now();
  for (auto it = connections.begin(); it != connections.end();) {
    if (!CanBeUsed(*it, now)) {
      it = connections.erase(it);
      continue;
    }
    if (it->connection->Number() <= max_number) {
      auto connection = std::move(it->connection);
      connections.erase(it);
      return connection;
    }
    ++it;
  }
  return nullptr;
}

auto ConnectionPool::OpenIdle(const std::string& address, std::uint16_t port,
                              std::chrono::milliseconds timeout) -> void {
  auto connection = std::make_unique<HttpConnection>(address, port);
  connection->Connect(timeout);
  connection->EnableTcpKeepAlive();
  this->RegisterCleanup();
  this->idle->by_endpoint[{address, port}].push_back(
      {std::move(connection),
       std::chrono::steady_clock::now() + HttpConnection::kDefaultIdleTimeout});
}

auto ConnectionPool::IdleCount(const std::string& address,
                               std::uint16_t port) const -> std::size_t {
  const auto it = this->idle->by_endpoint.find({address, port});
  return it == this->idle->by_endpoint.end() ? 0 : it->second.size();
}

auto ConnectionPool::IdleCount() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [endpoint, connections] : this->idle->by_endpoint) {
    count += connections.size();
  }
  return count;
}

auto ConnectionPool::CanBeUsed(const IdleConnection& idle,
                               std::chrono::steady_clock::time_point now)
    -> bool {
  return now < idle.expires_at && !idle.connection->IsStale();
}

auto ConnectionPool::RunPruning(const std::weak_ptr<IdleConnections>& pruned)
    -> void {
  while (true) {
    SleepFor(kPruneInterval);
    const auto idle = pruned.lock();
    if (idle == nullptr) return;
    Prune(*idle);
  }
}

auto ConnectionPool::Prune(IdleConnections& idle) -> void {
  const auto now = std::chrono::steady_clock::now();
  auto& by_endpoint = idle.by_endpoint;
  for (auto it = by_endpoint.begin(); it != by_endpoint.end();) {
    auto& connections = it->second;
    const auto is_unusable = [now](const IdleConnection& idle) {
      return !CanBeUsed(idle, now);
    };
    connections.erase(
        std::remove_if(connections.begin(), connections.end(), is_unusable),
        connections.end());
    it = connections.empty() ? by_endpoint.erase(it) : std::next(it);
  }
}

auto ConnectionPool::RegisterCleanup() -> void {
  if (this->idle->is_cleanup_registered) return;
  // Idle connections must be destroyed before the loop whose I/O context they
  // use.
  FiberLoop::Current().AddCleanup([idle = this->idle] {
    idle->by_endpoint.clear();
    idle->is_cleanup_registered = false;
  });
  this->idle->is_cleanup_registered = true;
  FiberLoop::Current().Spawn(
      [pruned = std::weak_ptr(this->idle)] { RunPruning(pruned); });
}

auto ConnectionPool::Release(const std::string& address, std::uint16_t port,
                             std::unique_ptr<HttpConnection> connection)
    -> void {
  if (!connection->IsReusable()) return;
  // It would end the connection at the first lost keepalive probe.
  connection->ClearAcknowledgementTimeout();
  this->RegisterCleanup();
  auto& connections = this->idle->by_endpoint[{address, port}];
  if (connections.size() >= kMaxIdlePerEndpoint) return;
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
      connection->IdleTimeout() * kIdleTimeoutFraction);
  connections.push_back(
      {std::move(connection), std::chrono::steady_clock::now() + lifetime});
}

}  // namespace currantbeam
