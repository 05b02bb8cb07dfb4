#include "router/ended_server_probe.h"

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr auto kProbeTimeout = std::chrono::milliseconds(200);
constexpr auto kPollInterval = std::chrono::milliseconds(2);

}  // namespace

auto EndedServerProbe::HasEnded(const BackendEntry& server) -> bool {
  const ServerProcess process{server.id, server.started};
  const auto it = this->attempts.find(process);
  if (it != this->attempts.end()) {
    const auto running = it->second;
    while (!running->is_done) SleepFor(kPollInterval);
    return running->is_refused;
  }
  const auto attempt = std::make_shared<Attempt>();
  this->attempts[process] = attempt;
  attempt->is_refused =
      IsConnectionRefused(server.address, server.port, kProbeTimeout);
  attempt->is_done = true;
  this->attempts.erase(process);
  return attempt->is_refused;
}

}  // namespace currantbeam
