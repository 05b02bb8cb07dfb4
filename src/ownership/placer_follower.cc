#include "ownership/placer_follower.h"

namespace currantbeam {

PlacerFollower::PlacerFollower(const LeaseTiming& timing, const Clock& clock)
    : timing(timing),
      clock(clock),
      eligible_at(clock.Now() + timing.leader_lease +
                  timing.clock_drift_allowance) {}

auto PlacerFollower::IsEligible() const -> bool {
  return this->clock.Now() >= this->eligible_at;
}

auto PlacerFollower::IsBound() const -> bool {
  return !this->bound_to.IsEmpty() && this->clock.Now() < this->bound_until;
}

auto PlacerFollower::BoundTo() const -> HostId {
  return this->IsBound() ? this->bound_to : HostId();
}

auto PlacerFollower::Consider(const Beat& beat) -> bool {
  if (!beat.leading || !this->IsEligible()) return false;
  if (beat.term < this->highest_term) return false;
  const bool same_placer = beat.placer == this->bound_to;
  if (!same_placer) {
    if (this->IsBound()) return false;
    // A term belongs to one placer.
    if (beat.term == this->highest_term) return false;
  }
  this->bound_to = beat.placer;
  this->bound_term = beat.term;
  this->highest_term = beat.term;
  this->bound_until = this->clock.Now() + this->timing.leader_lease +
                      this->timing.clock_drift_allowance;
  return true;
}

}  // namespace currantbeam
