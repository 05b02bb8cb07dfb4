#pragma once

#include "core/core.h"
#include "ownership/messages.h"

namespace currantbeam {

/// The gateway's side of the placer election (see Election). A gateway follows
/// one placer at a time by granting it a leader lease, and follows another only
/// after that lease has expired. As an active placer needs a majority of the
/// gateways, there is at most one.
class PlacerFollower {
 public:
  PlacerFollower(const LeaseTiming& timing, const Clock& clock);

  /// Grants or renews the leader lease of the heartbeat's sender, if possible.
  /// @return true if the gateway now follows the sender. The lease starts now.
  auto TryFollow(const Heartbeat& heartbeat) -> bool;

  /// @return false for one leader lease after the start, because a lease that
  /// the previous run of this gateway granted may still be valid.
  [[nodiscard]] auto IsEligible() const -> bool;
  [[nodiscard]] auto IsFollowing() const -> bool;
  /// @return the placer whose lease is valid, or an empty id.
  [[nodiscard]] auto FollowedPlacer() const -> HostId;
  [[nodiscard]] auto FollowedTerm() const -> Term {
    return this->followed_term;
  }
  [[nodiscard]] auto HighestTerm() const -> Term { return this->highest_term; }

 private:
  LeaseTiming timing;
  const Clock& clock;
  TimePoint eligible_at;
  HostId followed_placer;
  Term followed_term;
  TimePoint lease_until;
  Term highest_term;
};

}  // namespace currantbeam
