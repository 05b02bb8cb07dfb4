#pragma once

#include <optional>
#include <string>

#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_state.h"
#include "http/http.h"

namespace currantbeam {

/// Takes callers' requests: finds the owner of the key, passes the request to
/// the gateway that drives it, and relays the whole answer.
class CallerHandler : public HttpHandler {
 public:
  CallerHandler(GatewayState& state, Driver& driver)
      : state(state), driver(driver) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  struct Attempt;
  auto MakeJob(const HttpRequest& request) -> std::optional<RequestJob>;
  auto Route(RequestJob& job, HttpExchange& exchange) -> void;
  auto TryOnce(RequestJob& job, HttpExchange& exchange, Attempt& attempt)
      -> bool;
  auto MayRepeat(const RequestJob& job, const RequestError& error) -> bool;
  auto Finish(const RequestJob& job, const Attempt& attempt,
              const std::string& result, const std::string& why) -> void;

  GatewayState& state;
  Driver& driver;
};

/// Takes requests that other gateways sent on to this one as the driver.
class HopHandler : public HttpHandler {
 public:
  HopHandler(GatewayState& state, Driver& driver)
      : state(state), driver(driver) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  GatewayState& state;
  Driver& driver;
};

/// Answers the platform's balancer and scrapers.
class StatusHandler : public HttpHandler {
 public:
  explicit StatusHandler(GatewayState& state) : state(state) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  GatewayState& state;
};

}  // namespace currantbeam
