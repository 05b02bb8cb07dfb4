#pragma once

#include <string>
#include <vector>

#include "keys/keys.h"

namespace currantbeam {

/// @return one process of the server whose ID is `s` followed by the number.
inline auto MakeOwner(int number) -> KeyOwner {
  return {ServerId("s" + std::to_string(number)),
          std::chrono::milliseconds(1000 + number), "10.0.0.1",
          static_cast<std::uint16_t>(8000 + number)};
}

/// @return servers of equal weight, numbered from 0.
inline auto MakeServers(int count) -> std::vector<EligibleServer> {
  std::vector<EligibleServer> servers;
  servers.reserve(count);
  for (int i = 0; i < count; ++i) servers.push_back({MakeOwner(i), 4});
  return servers;
}

/// Sends the grant and gets the reply at once.
/// @return false if the scheduler does not permit the grant.
[[nodiscard]] inline auto ReplyToGrant(GrantScheduler& scheduler,
                                       KeyCommand command, GrantReply reply)
    -> bool {
  if (!scheduler.PermitGrant(command)) {
    scheduler.OnNotSent(command);
    return false;
  }
  scheduler.OnGrantReply(command, {reply, 1});
  return true;
}

}  // namespace currantbeam
