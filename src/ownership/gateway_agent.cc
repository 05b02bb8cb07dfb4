#include "ownership/gateway_agent.h"

#include <algorithm>

namespace currantbeam {

GatewayAgent::GatewayAgent(HostId self, FailureDomain domain,
                           std::uint64_t incarnation, const LeaseTiming& timing,
                           const Clock& clock)
    : self(std::move(self)),
      domain(std::move(domain)),
      incarnation(incarnation),
      timing(timing),
      clock(clock),
      follower(timing, clock),
      driven_servers(timing, clock) {}

auto GatewayAgent::UpdateOwned() -> void {
  std::map<ServerId, std::set<SlotIndex>> owned;
  for (const auto* document :
       this->documents.FindByPrefix(Segment::NamePrefix(this->domain))) {
    const auto segment = document->body.get<Segment>();
    for (const auto& [index, slot] : segment.slots) {
      if (!slot.owner.IsEmpty() && !slot.moving) {
        owned[slot.owner].insert(index);
      }
    }
  }
  this->driven_servers.SetOwned(std::move(owned), this->session, this->cursor);
}

auto GatewayAgent::Follow(const Heartbeat& heartbeat) -> void {
  const bool is_new_session = heartbeat.session != this->session;
  bool changed = false;
  for (const auto& document : heartbeat.documents) {
    if (this->documents.Apply(document)) changed = true;
  }
  if (is_new_session || changed || heartbeat.cursor != this->cursor) {
    this->session = heartbeat.session;
    this->cursor = heartbeat.cursor;
    this->UpdateOwned();
  }
  this->driven_servers.Renew(heartbeat);
  if (heartbeat.echo != 0) {
    this->config_lease_until = std::max(
        this->config_lease_until, FromMicros(heartbeat.echo) + kConfigLease);
  }
}

auto GatewayAgent::OnHeartbeat(const Heartbeat& heartbeat) -> Report {
  const bool is_for_this_run = heartbeat.incarnation == this->incarnation;
  const bool follows = is_for_this_run && this->follower.TryFollow(heartbeat);
  if (follows && heartbeat.active) this->Follow(heartbeat);
  Report report;
  report.gateway = this->self;
  report.incarnation = this->incarnation;
  report.eligible = this->follower.IsEligible();
  report.followed_placer = this->follower.FollowedPlacer();
  report.followed_term = this->follower.FollowedTerm();
  report.highest_term = this->follower.HighestTerm();
  this->last_report_clock =
      std::max(ToMicros(this->clock.Now()), this->last_report_clock + 1);
  report.clock = this->last_report_clock;
  report.echo = heartbeat.clock;
  report.session = this->session;
  report.cursor = this->cursor;
  report.config_version = this->ConfigVersion();
  report.driven_servers = this->driven_servers.Reports();
  if (heartbeat.resync) report.documents = this->documents.ChangedSince(0);
  return report;
}

auto GatewayAgent::ConfigVersion() const -> std::uint64_t {
  const auto* config = this->documents.Find(kConfigDocument);
  return config == nullptr ? 0 : config->stamp.sequence;
}

auto GatewayAgent::MayServe() const -> bool {
  return this->ConfigVersion() != 0 &&
         this->clock.Now() < this->config_lease_until;
}

}  // namespace currantbeam
