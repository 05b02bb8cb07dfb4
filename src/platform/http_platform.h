#pragma once

#include <chrono>
#include <string>

#include "http/http.h"
#include "platform/platform_services.h"

namespace currantbeam {

/// A client of the platform's services over HTTP with JSON. Call from a fiber.
class HttpPlatform : public PlatformServices {
 public:
  HttpPlatform(std::string address, std::uint16_t port,
               std::chrono::milliseconds timeout);

  auto ReadRows(const std::string& prefix) -> std::vector<TableRow> override;
  auto Commit(const TableTransaction& transaction) -> CommitOutcome override;
  auto ReadHosts() -> HostList override;
  auto PutObject(const std::string& name, const std::string& data)
      -> void override;
  auto FetchObject(const std::string& name)
      -> std::optional<std::string> override;

 private:
  auto Call(http::verb method, const std::string& target,
            const std::string& body) -> HttpResponse;

  std::string address;
  std::uint16_t port;
  std::chrono::milliseconds timeout;
};

/// Handles an HTTP request of an HttpPlatform; used by the stand-in platform
/// and by tests.
/// @param services  the services that the request is passed to.
/// @return the response; 404 for an unknown path, 400 for malformed JSON.
auto HandlePlatformRequest(PlatformServices& services,
                           const HttpRequest& request) -> HttpResponse;

}  // namespace currantbeam
