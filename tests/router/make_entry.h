#pragma once

#include <string>

#include "backends/backends.h"

namespace currantbeam {

/// @return an entry for a server of service `s` in failure domain `x`.
inline auto MakeEntry(const std::string& id, int port) -> BackendEntry {
  BackendEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceName("s");
  entry.address = "10.0.0.1";
  entry.port = static_cast<std::uint16_t>(port);
  entry.domain = FailureDomain("x");
  entry.slots = 4;
  entry.started = std::chrono::milliseconds(1);
  return entry;
}

}  // namespace currantbeam
