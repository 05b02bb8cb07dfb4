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
      allegiance(timing, clock),
      drives(timing, clock) {}

auto GatewayAgent::UpdateOwned() -> void {
  std::map<ServerId, std::set<SlotIndex>> owned;
  for (const auto* document :
       this->documents.WithPrefix(Segment::NamePrefix(this->domain))) {
    const auto segment = document->body.get<Segment>();
    for (const auto& [index, slot] : segment.slots) {
      if (!slot.owner.IsEmpty() && !slot.moving) {
        owned[slot.owner].insert(index);
      }
    }
  }
  this->drives.SetOwned(std::move(owned), this->session, this->cursor);
}

auto GatewayAgent::Follow(const Beat& beat) -> void {
  const bool is_new_session = beat.session != this->session;
  bool changed = false;
  for (const auto& document : beat.documents) {
    if (this->documents.Apply(document)) changed = true;
  }
  if (is_new_session || changed || beat.cursor != this->cursor) {
    this->session = beat.session;
    this->cursor = beat.cursor;
    this->UpdateOwned();
  }
  this->drives.Renew(beat);
  if (beat.echo != 0) {
    this->touched_until =
        std::max(this->touched_until, FromMicros(beat.echo) + kConfigLease);
  }
}

auto GatewayAgent::OnBeat(const Beat& beat) -> Report {
  const bool is_for_this_run = beat.incarnation == this->incarnation;
  const bool follows = is_for_this_run && this->allegiance.Consider(beat);
  if (follows && beat.active) this->Follow(beat);
  Report report;
  report.gateway = this->self;
  report.incarnation = this->incarnation;
  report.eligible = this->allegiance.IsEligible();
  report.bound_to = this->allegiance.BoundTo();
  report.bound_term = this->allegiance.BoundTerm();
  report.highest_term = this->allegiance.HighestTerm();
  report.clock = ToMicros(this->clock.Now());
  report.echo = beat.clock;
  report.session = this->session;
  report.cursor = this->cursor;
  report.config_version = this->ConfigVersion();
  report.drives = this->drives.Reports();
  if (beat.wants_documents) report.documents = this->documents.Since(0);
  return report;
}

auto GatewayAgent::ConfigVersion() const -> std::uint64_t {
  const auto* config = this->documents.Find(kConfigDocument);
  return config == nullptr ? 0 : config->stamp.sequence;
}

auto GatewayAgent::MayServe() const -> bool {
  return this->ConfigVersion() != 0 && this->clock.Now() < this->touched_until;
}

}  // namespace currantbeam
