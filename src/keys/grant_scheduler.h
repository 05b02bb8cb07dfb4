#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "keys/grant_client.h"
#include "keys/stripe_planner.h"
#include "store/store_client.h"

namespace currantbeam {

/// How long grants last and how often they are renewed.
struct GrantTiming {
  Duration ttl = std::chrono::seconds(8);
  /// The longest that a server takes; granted before the lease runs out, so
  /// that keys stay served while the store is away.
  Duration max_ttl = std::chrono::seconds(10);
  /// The lease is about to run out if no more than this is left of it.
  Duration lease_expiry_threshold = std::chrono::milliseconds(1500);
  Duration renewal_interval = std::chrono::seconds(4);
  Duration call_timeout = std::chrono::milliseconds(400);
  /// Longest time that a release waits for running work.
  Duration release_timeout = std::chrono::milliseconds(1500);
  /// A server's clock may count a hold this much too long.
  double clock_drift_factor = 1.02;
  /// A server that was not heard of for this long may have restarted.
  Duration max_response_age = std::chrono::milliseconds(900);
  Duration margin = std::chrono::milliseconds(200);
};

/// A call that the keeper wants made to a server.
struct KeyCommand {
  enum class Kind { kGrant, kRelease };
  Kind kind = Kind::kGrant;
  int stripe = 0;
  KeyOwner owner;
  FencingToken token = 0;
  std::string handover;
  Duration ttl{0};  ///< Of a grant.
  int epoch = 0;    ///< Orders of an earlier load of the map are void.
};

/// Decides which grants and releases one service's servers get. Talks to
/// nobody: it says what to send, and is told what came of it. No stripe gets
/// another owner before the last one has released it, or before the longest
/// hold that the last one may have been sent has run out.
class GrantScheduler {
 public:
  GrantScheduler(const Clock& clock, GrantTiming timing)
      : clock(clock), timing(timing) {}

  /// Starts from a map that another keeper may have worked on until now.
  auto Load(OwnerMap map, StoreVersion version) -> void;
  /// @param servers  that may own keys; those that left are missing.
  /// @param loads  of each stripe; empty if not known.
  auto SetServers(std::vector<EligibleServer> servers,
                  std::vector<double> loads) -> void;
  /// @return owners of which some keys were granted nothing since contact with
  ///   them was lost.
  [[nodiscard]] auto UnreachableOwners() const -> std::vector<KeyOwner>;
  /// Another server lives where an owner was: that owner is gone for good.
  auto OnAddressReused(const std::string& address, std::uint16_t port,
                       const ServerId& id, std::chrono::milliseconds started)
      -> void;

  /// The owner could not be reached. It may come back as another life that
  /// knows nothing, before its entry says so; what it held is granted under a
  /// higher token from here on. Call before the replies to what was sent.
  auto OnOwnerUnreachable(const KeyOwner& owner) -> void;

  /// Says how long the lease under which grants are made still lasts.
  auto SetRemainingLease(Duration remaining) -> void;

  /// @return calls that are due; each is answered by one of the On methods.
  auto TakeDueCommands() -> std::vector<KeyCommand>;
  auto OnGrantReply(const KeyCommand& command, GrantReply reply) -> void;
  auto OnReleaseReply(const KeyCommand& command, const ReleaseReply& reply)
      -> void;
  /// The order cannot have reached the owner.
  auto OnNotSent(const KeyCommand& command) -> void;

  /// Calls may go on until it is known whether the change was made: until
  /// OnCommitted, or until the map is loaded again. No further stripes leave
  /// sound owners meanwhile.
  /// @return whether owners are to be changed; then PlannedMap says how.
  auto PlanChange() -> bool;
  [[nodiscard]] auto PlannedMap() const -> const OwnerMap& {
    return this->planned;
  }
  /// @return how many stripes the planned map gives another owner.
  [[nodiscard]] auto PlannedMoves() const -> int;
  /// The planned map is in the store.
  auto OnCommitted(StoreVersion version) -> void;

  [[nodiscard]] auto Map() const -> const OwnerMap& { return this->map; }
  [[nodiscard]] auto Version() const -> StoreVersion { return this->version; }

 private:
  enum class Phase {
    kAssigned,    ///< The owner is to have it.
    kReleasing,   ///< The owner is to give it up.
    kUnassigned,  ///< Nobody can hold it.
  };
  struct Stripe {
    Phase phase = Phase::kUnassigned;
    bool is_in_flight = false;
    bool is_first_grant = true;   ///< Not granted yet under its token.
    bool is_token_stale = false;  ///< A higher token has to be committed.
    bool is_token_used = false;   ///< A server may have seen the token.
    bool is_unreachable =
        false;  ///< Nothing was granted since contact was lost.
    bool is_rebalancing = false;  ///< It leaves a sound owner.
    TimePoint held_until{};       ///< Nobody can hold it after this.
    TimePoint due_at{};
    std::string handover;
  };

  /// @return until when a server may hold what it is sent at that time.
  [[nodiscard]] auto LatestExpiry(TimePoint sent_at, Duration ttl) const
      -> TimePoint;
  /// @return how long what is granted now is held.
  [[nodiscard]] auto GrantTtl() const -> Duration {
    return this->is_lease_expiring ? this->timing.max_ttl : this->timing.ttl;
  }
  [[nodiscard]] auto RenewalDelay(int stripe, bool is_first_grant) const
      -> Duration;
  auto UpdatePhases(TimePoint now) -> void;
  /// @return whether vacant stripes should wait for others.
  auto IsBatching(TimePoint now) -> bool;
  auto Rebalance(TimePoint now) -> void;
  /// Renews early at owners that were silent for a while, so that each is heard
  /// of often, and treats ones that were silent for long like ones that were
  /// lost.
  auto CheckResponseAges(TimePoint now) -> void;
  /// Renews one of the stripes that each of these servers holds.
  /// @param silent  by place among the servers.
  auto ProbeServers(std::vector<bool> needs_probe, TimePoint now) -> void;
  auto RecordResponse(const KeyOwner& owner) -> void;
  [[nodiscard]] auto UnassignedStripes() const -> std::vector<bool>;
  [[nodiscard]] auto Placement() const -> PlacementState {
    return {this->map, this->UnassignedStripes(), this->servers, this->loads};
  }
  auto MakeCommand(int stripe, KeyCommand::Kind kind) -> KeyCommand;

  const Clock& clock;
  GrantTiming timing;
  OwnerMap map;
  OwnerMap planned;
  StoreVersion version = 0;
  std::vector<EligibleServer> servers;
  std::vector<double> loads;
  std::vector<Stripe> stripes;
  /// When each server last answered, by id, as long as it is in contact.
  std::unordered_map<ServerId, TimePoint> last_response_at;
  TimePoint rebalanced_at{};
  TimePoint committed_at{};
  TimePoint unassigned_since{};
  bool is_lease_expiring = false;
  bool is_commit_pending = false;  ///< From PlanChange until that is decided.
  int epoch = 0;
};

}  // namespace currantbeam
