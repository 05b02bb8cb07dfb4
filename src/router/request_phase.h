#pragma once

#include <string_view>

namespace currantbeam {

/// What a request that is being forwarded waits for.
enum class RequestPhase {
  kConnecting,       ///< For a connection to a backend server.
  kAwaitingAnswer,   ///< For the head of the server's response.
  kReadingAnswer,    ///< For the rest of a response that is relayed whole.
  kStreamingAnswer,  ///< For more of a response that is relayed in parts.
  kAwaitingOwner,    ///< For another owner of its key.
  kResponding,       ///< For its client to receive the response.
};

/// @return the phase as log lines name it.
auto ToString(RequestPhase phase) -> std::string_view;

}  // namespace currantbeam
