#include "router/ended_server_probe.h"

#include <algorithm>
#include <chrono>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr auto kProbeTimeout = std::chrono::milliseconds(200);
constexpr auto kPollInterval = std::chrono::milliseconds(2);

}  // namespace

auto EndedServerProbe::HasEnded(const BackendEntry& server, Duration timeout)
    -> bool {
  const auto time_left = std::min(
      std::chrono::floor<std::chrono::milliseconds>(timeout), kProbeTimeout);
  if (time_left <= std::chrono::milliseconds(0)) return false;
  const ServerProcess process{server.id, server.started};
  const auto it = this->attempts.find(process);
  if (it != this->attempts.end()) {
    const auto running = it->second;
    const auto give_up_at = std::chrono::steady_clock::now() + time_left;
    while (!running->is_done && std::chrono::steady_clock::now() < give_up_at) {
      SleepFor(kPollInterval);
    }
    return running->is_refused;
  }
  const auto attempt = std::make_shared<Attempt>();
  this->attempts[process] = attempt;
  attempt->is_refused =
      IsConnectionRefused(server.address, server.port, time_left);
  attempt->is_done = true;
  this->attempts.erase(process);
  return attempt->is_refused;
}

}  // namespace currantbeam
