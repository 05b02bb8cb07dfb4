#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "backends/backends.h"
#include "router/forwarding_headers.h"

namespace currantbeam {

/// Asks backend servers whether they serve requests.
class ServerHealthClient {
 public:
  virtual ~ServerHealthClient() = default;
  /// Blocks the fiber until the server has responded, for at most the timeout.
  /// @return whether this server, and no other one at its address, has
  ///   responded that it is healthy and doesn't leave.
  virtual auto Serves(const BackendEntry& server,
                      std::chrono::milliseconds timeout) -> bool = 0;
};

/// Asks servers by a GET of their service's health path.
class HttpServerHealthClient : public ServerHealthClient {
 public:
  /// @return the path for the service; empty if it has none.
  using HealthPath = std::function<std::string(const ServiceName& service)>;
  HttpServerHealthClient(const ForwardingHeaders& headers,
                         HealthPath health_path)
      : headers(headers), health_path(std::move(health_path)) {}

  auto Serves(const BackendEntry& server, std::chrono::milliseconds timeout)
      -> bool override;

 private:
  auto Ask(const BackendEntry& server, const std::string& path,
           std::chrono::milliseconds timeout) -> bool;

  const ForwardingHeaders& headers;
  HealthPath health_path;
};

}  // namespace currantbeam
