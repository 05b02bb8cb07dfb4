#include "backends/backend_entry.h"

namespace currantbeam {

auto ToString(OutdatedReason reason) -> std::string_view {
  switch (reason) {
    case OutdatedReason::kOlderProcess:
      return "older-process";
    case OutdatedReason::kOlderSequence:
      return "older-sequence";
    case OutdatedReason::kReadyAfterDraining:
      return "ready-after-draining";
    case OutdatedReason::kRemoved:
      return "removed";
  }
  return "unknown";
}

auto FindOutdatedReason(const BackendEntry& entry, const BackendEntry& known)
    -> std::optional<OutdatedReason> {
  if (entry.started < known.started) return OutdatedReason::kOlderProcess;
  if (entry.started > known.started) return std::nullopt;
  if (known.is_draining && !entry.is_draining) {
    return OutdatedReason::kReadyAfterDraining;
  }
  if (entry.sequence && known.sequence && *entry.sequence < *known.sequence) {
    return OutdatedReason::kOlderSequence;
  }
  return std::nullopt;
}

}  // namespace currantbeam
