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

auto PlacerFollower::IsFollowing() const -> bool {
  return !this->followed_placer.IsEmpty() &&
         this->clock.Now() < this->lease_until;
}

auto PlacerFollower::FollowedPlacer() const -> HostId {
  return this->IsFollowing() ? this->followed_placer : HostId();
}

auto PlacerFollower::TryFollow(const Heartbeat& heartbeat) -> bool {
  if (!heartbeat.leading || !this->IsEligible()) return false;
  if (heartbeat.term < this->highest_term) return false;
  const bool same_placer = heartbeat.placer == this->followed_placer;
  if (!same_placer) {
    if (this->IsFollowing()) return false;
    // Only one placer can have a given term.
    if (heartbeat.term == this->highest_term) return false;
  }
  this->followed_placer = heartbeat.placer;
  this->followed_term = heartbeat.term;
  this->highest_term = heartbeat.term;
  this->lease_until = this->clock.Now() + this->timing.leader_lease +
                      this->timing.clock_drift_allowance;
  return true;
}

}  // namespace currantbeam
