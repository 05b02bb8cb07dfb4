#pragma once

#include <chrono>
#include <string>

#include "http/http.h"
#include "platform/platform_services.h"

namespace currantbeam {

/// The platform over HTTP with JSON. Call from a fiber.
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

/// The server's side of the same wire form.
/// @param services  what answers.
/// @return the answer to a request.
auto AnswerPlatformRequest(PlatformServices& services,
                           const HttpRequest& request) -> HttpResponse;

}  // namespace currantbeam
