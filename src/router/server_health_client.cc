#include "router/server_health_client.h"

#include "http/http.h"
#include "http/remaining_time.h"

namespace currantbeam {
namespace {

constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
/// The server may have closed an idle connection that the first one uses.
constexpr int kMaxCalls = 2;

}  // namespace

auto HttpServerHealthClient::Serves(const BackendEntry& server,
                                    std::chrono::milliseconds timeout) -> bool {
  const auto path = this->health_path(server.service);
  if (path.empty()) return false;
  const RemainingTime time_left(timeout);
  for (int i = 0; i < kMaxCalls && time_left().count() > 0; ++i) {
    try {
      return this->Ask(server, path, time_left());
    } catch (const RequestError&) {
    }
  }
  return false;
}

auto HttpServerHealthClient::Ask(const BackendEntry& server,
                                 const std::string& path,
                                 std::chrono::milliseconds timeout) -> bool {
  const RemainingTime time_left(timeout);
  auto connection =
      ConnectionPool::Current().Acquire(server.address, server.port, timeout);
  HttpRequest request{http::verb::get, path, 11};
  request.set(http::field::host, server.address);
  const auto& head = connection->Exchange(request, time_left());
  const bool serves =
      head.result() == http::status::ok &&
      connection->Field(this->headers.responder_id) == server.id.Value() &&
      connection->Field(this->headers.leaving) != kServerLeaves;
  connection->LimitBody(kMaxBodyBytes);
  while (!connection->ReadBody(time_left()).empty()) {
  }
  ConnectionPool::Current().Release(server.address, server.port,
                                    std::move(connection));
  return serves;
}

}  // namespace currantbeam
