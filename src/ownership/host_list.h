#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// An IP address and port.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] auto ToString() const -> std::string {
    return this->address + ":" + std::to_string(this->port);
  }
  friend auto operator==(const Endpoint& a, const Endpoint& b) -> bool {
    return a.address == b.address && a.port == b.port;
  }
};

/// A host that accepts callers' requests. It runs one gateway and one placer.
struct EntryHost {
  HostId id;
  FailureDomain domain;
  Endpoint control;    ///< Where the gateway accepts placers.
  Endpoint hop;        ///< Where the gateway accepts other gateways.
  Endpoint placer;     ///< Where the placer accepts other placers.
  Endpoint operators;  ///< Where the placer accepts operators.
  bool leaving = false;
};

/// A backend server as the platform's host list describes it.
struct BackendServer {
  ServerId id;
  ServiceName service;
  FailureDomain domain;
  Endpoint endpoint;
  int slots = 0;
  int connections = 0;
  bool checks_tokens = true;
  bool leaving = false;

  friend auto operator==(const BackendServer& a, const BackendServer& b)
      -> bool;
};

/// The platform's list of live and leaving hosts. It may be out of date.
struct HostList {
  std::vector<EntryHost> entry_hosts;
  std::vector<BackendServer> servers;
};

auto to_json(nlohmann::json& json, const Endpoint& endpoint) -> void;
auto from_json(const nlohmann::json& json, Endpoint& endpoint) -> void;
auto to_json(nlohmann::json& json, const EntryHost& host) -> void;
auto from_json(const nlohmann::json& json, EntryHost& host) -> void;
auto to_json(nlohmann::json& json, const BackendServer& server) -> void;
auto from_json(const nlohmann::json& json, BackendServer& server) -> void;
auto to_json(nlohmann::json& json, const HostList& list) -> void;
auto from_json(const nlohmann::json& json, HostList& list) -> void;

}  // namespace currantbeam
