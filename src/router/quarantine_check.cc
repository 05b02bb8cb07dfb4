#include "router/quarantine_check.h"

#include "core/events.h"
#include "router/request_fingerprint.h"

namespace currantbeam {

auto QuarantineCheck::TimeUntilRelease() -> std::optional<Duration> {
  auto& state = this->request.state;
  if (state.quarantine.IsIdle()) return std::nullopt;
  return state.quarantine.TimeUntilRelease(this->Fingerprint(),
                                           state.clock.Now());
}

auto QuarantineCheck::TryStartTrial() -> bool {
  auto& state = this->request.state;
  if (state.trials == nullptr || state.quarantine.IsIdle()) return true;
  if (this->has_permit) return true;
  if (!state.quarantine.IsSuspect(this->Fingerprint())) return true;
  this->has_permit =
      state.trials->Acquire(this->Fingerprint(), this->request.TimeLeft());
  return this->has_permit;
}

auto QuarantineCheck::EndTrial() -> void {
  if (!this->has_permit) return;
  this->has_permit = false;
  this->request.state.trials->Release(this->Fingerprint());
}

auto QuarantineCheck::OnAnswered(const BackendEntry& server) -> void {
  auto& state = this->request.state;
  if (state.quarantine.IsIdle()) return;
  state.quarantine.OnAnswered(this->Fingerprint());
  state.quarantine.OnServerAlive({server.id, server.started},
                                 state.clock.Now());
}

auto QuarantineCheck::OnConnectionLost(const BackendEntry& server) -> void {
  auto& state = this->request.state;
  // The entry may be replaced while the probe waits.
  const ServerProcess process{server.id, server.started};
  const auto time_left = state.stop.respond_at - state.clock.Now();
  if (!state.ended_server_probe.HasEnded(server, time_left)) return;
  Log(events::kServerEnded,
      {{"request", this->request.RequestId()},
       {"server", process.id.Value()},
       {"fingerprint", FormatFingerprint(this->Fingerprint())}});
  state.quarantine.OnServerEnded(process, this->Fingerprint(),
                                 state.clock.Now());
}

auto QuarantineCheck::Fingerprint() -> RequestFingerprint {
  if (!this->fingerprint) {
    this->fingerprint = FingerprintOf(this->request.exchange.Request(),
                                      this->request.state.headers);
  }
  return *this->fingerprint;
}

}  // namespace currantbeam
