#pragma once

#include "core/core.h"
#include "ownership/messages.h"

namespace currantbeam {

/// The gateway's side of a placer's lease: a gateway follows one placer at a
/// time, and none other until the leader lease it gave has run out. A placer
/// that a majority of the gateways follows is the only active one.
class PlacerFollower {
 public:
  PlacerFollower(const LeaseTiming& timing, const Clock& clock);

  /// Decides whether to follow the sender of a beat.
  /// @return true if the gateway now follows it; the lease counts from now.
  auto Consider(const Beat& beat) -> bool;

  /// @return false for one leader lease after the start: an earlier run of
  /// this gateway may have given a lease that this run knows nothing of.
  [[nodiscard]] auto IsEligible() const -> bool;
  [[nodiscard]] auto IsBound() const -> bool;
  [[nodiscard]] auto BoundTo() const -> HostId;
  [[nodiscard]] auto BoundTerm() const -> Term { return this->bound_term; }
  [[nodiscard]] auto HighestTerm() const -> Term { return this->highest_term; }

 private:
  LeaseTiming timing;
  const Clock& clock;
  TimePoint eligible_at;
  HostId bound_to;
  Term bound_term;
  TimePoint bound_until;
  Term highest_term;
};

}  // namespace currantbeam
