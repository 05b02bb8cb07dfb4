#include "http/http_client.h"

#include <algorithm>
#include <utility>

#include "http/remaining_time.h"

namespace currantbeam {
namespace {

/// Attempts to connect during a network partition get no response. With a
/// longer timeout, an attempt would still be pending after the partition has
/// ended.
constexpr auto kFetchConnectTimeout = std::chrono::milliseconds(500);

/// The time that a response's body has left.
class BodyTimeout {
 public:
  /// @param remaining  of the timeout for the whole exchange.
  BodyTimeout(const FetchTimeout& timeout, const RemainingTime& remaining)
      : stall_timeout(timeout.stall),
        progress(timeout.stall),
        whole(timeout.stall.count() == 0
                  ? remaining
                  : RemainingTime(FetchTimeout::kMaxTransferTime)) {}

  auto operator()() const -> std::chrono::milliseconds {
    if (this->stall_timeout.count() == 0) return this->whole();
    return std::min(this->progress(), this->whole());
  }
  auto OnReceived(std::size_t bytes) -> void {
    this->received += bytes;
    if (this->received < FetchTimeout::kMinProgressBytes) return;
    this->received = 0;
    this->progress = RemainingTime(this->stall_timeout);
  }

 private:
  std::chrono::milliseconds stall_timeout;
  RemainingTime progress;
  RemainingTime whole;
  std::size_t received = 0;  ///< Since the last progress.
};

}  // namespace

auto FetchOver(ConnectionPool& pool, std::unique_ptr<HttpConnection> connection,
               HttpRequest request, FetchTimeout timeout,
               const std::string& id_header, std::uint64_t max_bytes,
               const std::function<void()>& on_head) -> HttpResponse {
  const RemainingTime remaining(timeout.head);
  const auto address = connection->Address();
  const auto port = connection->Port();
  request.version(11);
  request.set(http::field::host, address + ":" + std::to_string(port));
  request.prepare_payload();
  HttpResponse response;
  response.base() = connection->Exchange(request, remaining());
  if (on_head) on_head();
  connection->LimitBody(max_bytes);
  BodyTimeout body_timeout(timeout, remaining);
  while (true) {
    const auto chunk = connection->ReadBody(body_timeout());
    if (chunk.empty()) break;
    body_timeout.OnReceived(chunk.size());
    response.body().append(chunk);
  }
  const auto id = id_header.empty() ? "" : response[id_header];
  if (!id.empty() && id != request[id_header]) {
    throw RequestError(Verdict::kMayHaveRun,
                       "the response belongs to another request");
  }
  pool.Release(address, port, std::move(connection));
  return response;
}

auto Fetch(const std::string& address, std::uint16_t port, HttpRequest request,
           FetchTimeout timeout, std::uint64_t max_bytes,
           const std::function<void()>& on_head) -> HttpResponse {
  const RemainingTime remaining(timeout.head);
  auto& pool = ConnectionPool::Current();
  auto connection = pool.Acquire(
      address, port, std::min(timeout.head, kFetchConnectTimeout), true);
  return FetchOver(pool, std::move(connection), std::move(request),
                   {remaining(), timeout.stall}, {}, max_bytes, on_head);
}

}  // namespace currantbeam
