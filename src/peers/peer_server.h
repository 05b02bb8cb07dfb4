#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// Takes CBOR messages from other processes of the system over WebSocket.
class PeerServer {
 public:
  /// Called on the loop for each message.
  /// @return what to answer, if anything.
  using Handler =
      std::function<std::optional<nlohmann::json>(const nlohmann::json&)>;

  PeerServer(FiberLoop& loop, Handler handler);
  ~PeerServer();

  /// @throws Error if the address cannot be bound.
  auto Listen(const std::string& address, std::uint16_t port) -> void;
  auto Stop() -> void;

 private:
  class Endpoint;
  std::unique_ptr<Endpoint> endpoint;
};

}  // namespace currantbeam
