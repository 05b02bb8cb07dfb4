#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// Receives CBOR messages of other processes' PeerClients over WebSocket.
class PeerServer {
 public:
  /// Called on the loop for each message.
  /// @return the reply; nothing if none is to be sent.
  using Handler =
      std::function<std::optional<nlohmann::json>(const nlohmann::json&)>;

  PeerServer(FiberLoop& loop, Handler handler);
  ~PeerServer();

  /// @throws Error if the server can't listen on the address.
  auto Listen(const std::string& address, std::uint16_t port) -> void;
  /// Stops listening and closes all connections.
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace currantbeam
