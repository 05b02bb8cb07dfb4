#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/connection_pool.h"
#include "http/http_connection.h"
#include "http/http_types.h"

namespace currantbeam {

/// Enough for a response that reports the outcome of a call.
constexpr std::uint64_t kDefaultMaxResponseBytes = 1024 * 1024;

/// How long an exchange may take.
struct FetchTimeout {
  // Implicit, as most calls have one timeout.
  FetchTimeout(std::chrono::milliseconds whole)  // NOLINT(google-explicit-*)
      : head(whole) {}
  FetchTimeout(std::chrono::milliseconds head, std::chrono::milliseconds stall)
      : head(head), stall(stall) {}

  /// For the whole exchange; only until the response's head has been received
  /// if `stall` is not zero.
  std::chrono::milliseconds head;
  /// A body may take as long as it makes progress: it fails if less than
  /// kMinProgressBytes of it arrive in this time, or it takes longer than
  /// kMaxTransferTime.
  std::chrono::milliseconds stall{0};

  static constexpr std::size_t kMinProgressBytes = 8 * 1024;
  static constexpr auto kMaxTransferTime = std::chrono::seconds(30);
};

/// Sends a request over an established connection and reads the whole response.
/// The connection is returned to the pool afterwards, or closed after a
/// failure.
/// @param id_header  the header in which a response repeats the request's ID. A
///   response with another ID belongs to another request and is a failure.
/// @param max_bytes  the size of the largest response that is accepted, without
///   its head.
/// @param on_head  called once the response's head has been received.
/// @throws RequestError which says whether the request may have run;
///   ResponseTooLarge if the response exceeds max_bytes.
auto FetchOver(ConnectionPool& pool, std::unique_ptr<HttpConnection> connection,
               HttpRequest request, FetchTimeout timeout,
               const std::string& id_header = {},
               std::uint64_t max_bytes = kDefaultMaxResponseBytes,
               const std::function<void()>& on_head = {}) -> HttpResponse;

/// Sends a request and reads the whole response, over a connection of the
/// calling thread's pool. TCP keepalive is enabled on new connections.
/// @param timeout  its first part includes connecting.
/// @param max_bytes  as for FetchOver().
/// @param on_head  as for FetchOver().
/// @throws RequestError which says whether the request may have run;
///   ResponseTooLarge if the response exceeds max_bytes.
auto Fetch(const std::string& address, std::uint16_t port, HttpRequest request,
           FetchTimeout timeout,
           std::uint64_t max_bytes = kDefaultMaxResponseBytes,
           const std::function<void()>& on_head = {}) -> HttpResponse;

}  // namespace currantbeam
