#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// Outgoing links to other processes of the system, one for each endpoint,
/// connected when first used and connected anew after a loss.
class PeerLinks {
 public:
  /// Called on the loop for each message that comes back.
  using Handler = std::function<void(const nlohmann::json&)>;

  PeerLinks(FiberLoop& loop, Handler handler);
  ~PeerLinks();

  /// Sends a message, or drops it if the link is not up: all messages are
  /// repeated by their senders. Call on the loop.
  auto Send(const std::string& address, std::uint16_t port,
            const nlohmann::json& message) -> void;
  /// @return bytes sent so far, over all links.
  [[nodiscard]] auto BytesSent() const -> std::uint64_t;
  auto Stop() -> void;

 private:
  class Client;
  std::unique_ptr<Client> client;
};

}  // namespace currantbeam
