#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// Sends CBOR messages to the PeerServers of other processes, over one
/// WebSocket connection per endpoint. Connections are opened on first use and
/// reopened after a failure.
class PeerClient {
 public:
  /// Called on the loop for each message that a server sends back.
  using Handler = std::function<void(const nlohmann::json&)>;

  PeerClient(FiberLoop& loop, Handler handler);
  ~PeerClient();

  /// Sends a message, or discards it if the connection is not open; senders
  /// repeat their messages. To be called on the loop.
  auto Send(const std::string& address, std::uint16_t port,
            const nlohmann::json& message) -> void;
  /// @return the bytes sent so far, over all connections.
  [[nodiscard]] auto BytesSent() const -> std::uint64_t;
  /// Closes all connections; no new ones are opened.
  auto Stop() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace currantbeam
