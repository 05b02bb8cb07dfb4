#include "router/request_phase.h"

namespace currantbeam {

auto ToString(RequestPhase phase) -> std::string_view {
  switch (phase) {
    case RequestPhase::kConnecting:
      return "connecting";
    case RequestPhase::kAwaitingAnswer:
      return "awaiting-answer";
    case RequestPhase::kReadingAnswer:
      return "reading-answer";
    case RequestPhase::kStreamingAnswer:
      return "streaming-answer";
    case RequestPhase::kAwaitingOwner:
      return "awaiting-owner";
    case RequestPhase::kResponding:
      return "responding";
  }
  return "unknown";
}

}  // namespace currantbeam
