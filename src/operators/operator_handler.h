#pragma once

#include <string>

#include "http/http.h"
#include "placer/placer_process.h"

namespace currantbeam {

/// Serves operators' commands on a placer over HTTP with JSON;
/// docs/PROTOCOLS.md lists them. Any placer serves them; a standby reports the
/// state that the active placers have sent to it.
class OperatorHandler : public HttpHandler {
 public:
  OperatorHandler(PlacerProcess& process, const Clock& clock)
      : process(process), clock(clock) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& message) -> void override;

 private:
  auto HandleRequest(const HttpRequest& request) -> HttpResponse;
  auto Status() -> nlohmann::json;
  auto ServerRows() -> nlohmann::json;
  auto Explain(const std::string& service, const std::string& key)
      -> nlohmann::json;
  auto ConfigurationStatus() -> nlohmann::json;
  auto Apply(const HttpRequest& request) -> HttpResponse;
  auto MarkHost(const HttpRequest& request) -> HttpResponse;
  auto StoreConfiguration(Configuration configuration, std::uint64_t base)
      -> HttpResponse;
  auto SettlementReport() -> nlohmann::json;

  PlacerProcess& process;
  const Clock& clock;
};

}  // namespace currantbeam
