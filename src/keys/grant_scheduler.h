#pragma once

#include <optional>
#include <string>
#include <vector>

#include "keys/grant_client.h"
#include "keys/grant_sessions.h"
#include "keys/stripe_planner.h"
#include "store/store_client.h"

namespace currantbeam {

/// Lifetimes, intervals and timeouts of grants.
struct GrantTiming {
  /// Time to live of a grant, counted by the server from its arrival.
  Duration ttl = std::chrono::seconds(8);
  /// The longest time to live that a server accepts. It is granted shortly
  /// before the lease expires, so that keys stay served while the store is
  /// unreachable.
  Duration max_ttl = std::chrono::seconds(10);
  /// The lease counts as about to expire when this much of it remains or less.
  Duration lease_expiry_threshold = std::chrono::milliseconds(1500);
  Duration renewal_interval = std::chrono::seconds(4);
  Duration call_timeout = std::chrono::milliseconds(400);
  /// How long a release call waits for the server to finish running work.
  Duration release_timeout = std::chrono::milliseconds(1500);
  /// A slow server clock may stretch a time to live by up to this factor.
  double clock_drift_factor = 1.02;
  /// A server whose last response is older than this may have restarted.
  Duration max_response_age = std::chrono::milliseconds(900);
  /// Added to the latest possible expiry of each grant.
  Duration margin = std::chrono::milliseconds(200);
};

/// A grant or release that is to be sent to the server that owns a stripe.
struct KeyCommand {
  enum class Kind { kGrant, kRelease };
  Kind kind = Kind::kGrant;
  int stripe = 0;
  KeyOwner owner;
  FencingToken token = 0;
  std::string handover;
  Duration ttl{0};  ///< Time to live of a grant; unused in a release.
  int epoch = 0;    ///< Counts loads of the map; replies to commands of an
                    ///< earlier one are ignored.
  /// Set by GrantScheduler::PermitGrant().
  int session = 0;
  std::optional<ConnectionNumber> max_connection;
};

/// Decides which grants and releases are sent to the servers of one service,
/// and which stripes change owner. It does no I/O: ServiceCoordinator commits
/// the planned map, KeyCoordinator sends the commands, and both report the
/// results. A stripe gets another owner only after its last owner has released
/// it or after all grants that may have reached that owner have expired.
class GrantScheduler {
 public:
  GrantScheduler(const Clock& clock, GrantTiming timing)
      : clock(clock), timing(timing) {}

  /// Starts from a stored map. Grants of the previous coordinator may still be
  /// running, so every owner counts as holding its stripes for the longest time
  /// to live, and every token is raised before the first grant. The map
  /// continues in the version's epoch.
  auto Load(OwnerMap map, StoreVersion version) -> void;
  /// Starts from a stored map of an earlier epoch, which may lack the last
  /// changes: any server may hold any stripe until the grants of previous
  /// coordinators have expired. Nothing is granted or planned before that.
  auto LoadRolledBack(OwnerMap map, StoreVersion version) -> void;
  /// Continues with the current map after the store was rolled back to an
  /// earlier one; the map has to be committed again.
  /// @param version  of the map in the store.
  auto ContinueAfterRollback(StoreVersion version) -> void;
  /// @param servers  all servers that may own keys. Stripes of other servers
  ///   are released.
  /// @param loads  by stripe; empty if unknown.
  auto SetServers(std::vector<EligibleServer> servers,
                  std::vector<double> loads) -> void;
  /// @return the owners of stripes for which OnGrantReply() was not called
  ///   since OnOwnerUnreachable().
  [[nodiscard]] auto UnreachableOwners() const -> std::vector<KeyOwner>;
  /// @return whether the owner has a stripe that it may hold or is about to be
  ///   granted.
  [[nodiscard]] auto MayHoldStripes(const KeyOwner& owner) const -> bool;
  /// Call when another server responds at the owner's address: the owner has
  /// ended, and so have its grants. Nothing else proves that before they
  /// expire, as an entry in the store may be another writer's. Call before the
  /// On method for the command that it responded to.
  auto OnOwnerReplaced(const KeyOwner& owner) -> void;
  /// Call when the owner refuses connections or does not respond. It may have
  /// restarted without its grants before its registration shows that, so its
  /// stripes are granted under a higher token from now on. Call before the On
  /// method for the command that failed.
  auto OnOwnerUnreachable(const KeyOwner& owner) -> void;

  /// @param remaining  of the coordinator lease. When the lease is about to
  ///   expire, all grants are renewed with the longest time to live.
  auto SetRemainingLease(Duration remaining) -> void;

  /// @return the commands that are due. For each one, exactly one of
  ///   OnGrantReply(), OnReleaseReply() and OnNotSent() has to be called.
  auto TakeDueCommands() -> std::vector<KeyCommand>;
  /// Call immediately before a grant is sent. Restricts the connections that it
  /// may be sent over, so that a token never reaches two processes.
  /// @return false if the grant must not be sent any more.
  auto PermitGrant(KeyCommand& command) -> bool;
  auto OnGrantReply(const KeyCommand& command, const GrantResult& result)
      -> void;
  auto OnReleaseReply(const KeyCommand& command, const ReleaseReply& reply)
      -> void;
  /// Call when the command cannot have reached the owner.
  auto OnNotSent(const KeyCommand& command) -> void;

  /// Plans owners for unassigned stripes and higher tokens for stale ones.
  /// Until OnCommitted() or Load(), commands are still issued, but no further
  /// stripes leave eligible owners.
  /// @return whether there is a change to commit; PlannedMap() then has it.
  auto PlanChange() -> bool;
  [[nodiscard]] auto PlannedMap() const -> const OwnerMap& {
    return this->planned;
  }
  /// @return the number of stripes whose owner differs in the planned map.
  [[nodiscard]] auto PlannedMoves() const -> int;
  /// Call when the planned map is stored.
  auto OnCommitted(StoreVersion version) -> void;

  [[nodiscard]] auto Map() const -> const OwnerMap& { return this->map; }
  [[nodiscard]] auto Version() const -> StoreVersion { return this->version; }

 private:
  enum class Phase {
    kAssigned,    ///< Grants are sent to the owner in the map.
    kReleasing,   ///< Releases are sent to the owner in the map.
    kUnassigned,  ///< No server can hold it; it needs an owner.
  };
  struct Stripe {
    Phase phase = Phase::kUnassigned;
    bool is_in_flight = false;
    bool is_first_grant = true;   ///< No grant was accepted under its token.
    bool is_token_stale = false;  ///< A higher token has to be committed.
    /// The session in which a server may have received the token; 0 if none.
    int session = 0;
    /// No grant reply was recorded since the owner became unreachable.
    bool is_unreachable = false;
    bool is_rebalancing = false;  ///< It leaves an eligible owner.
    TimePoint held_until{};       ///< No server can hold it after this.
    TimePoint due_at{};           ///< When the next command is due.
    std::string handover;
  };

  /// Applies the reply to a grant that may have reached the owner.
  auto UpdateSession(const KeyCommand& command, const GrantResult& result)
      -> void;
  /// @return the latest time at which a grant sent at the given time expires.
  [[nodiscard]] auto LatestExpiry(TimePoint sent_at, Duration ttl) const
      -> TimePoint;
  /// @return the time to live of grants that are sent now.
  [[nodiscard]] auto GrantTtl() const -> Duration {
    return this->is_lease_expiring ? this->timing.max_ttl : this->timing.ttl;
  }
  /// @return the time from an accepted grant to its renewal.
  [[nodiscard]] auto RenewalDelay(int stripe, bool is_first_grant) const
      -> Duration;
  /// Moves stripes between phases by the eligibility of their owners and the
  /// expiry of their grants.
  auto UpdatePhases(TimePoint now) -> void;
  /// @return whether unassigned stripes should wait for stripes that are being
  ///   released, to be committed together.
  auto IsBatching(TimePoint now) -> bool;
  /// Starts to release stripes of overloaded servers, if no stripe is moving.
  auto Rebalance(TimePoint now) -> void;
  /// Treats servers as unreachable whose last response is too old, and probes
  /// servers whose last response is older than half of that.
  auto CheckResponseAges(TimePoint now) -> void;
  /// Makes the renewal of one stripe due at each of these servers, so that they
  /// respond.
  /// @param needs_probe  by index among the servers.
  auto ProbeServers(std::vector<bool> needs_probe, TimePoint now) -> void;
  [[nodiscard]] auto UnassignedStripes() const -> std::vector<bool>;
  [[nodiscard]] auto Placement() const -> PlacementState {
    return {this->map, this->UnassignedStripes(), this->servers, this->loads};
  }
  auto MakeCommand(int stripe, KeyCommand::Kind kind) -> KeyCommand;

  const Clock& clock;
  GrantTiming timing;
  OwnerMap map;
  OwnerMap planned;
  StoreVersion version;
  std::vector<EligibleServer> servers;
  std::vector<double> loads;
  std::vector<Stripe> stripes;
  GrantSessions sessions;
  TimePoint rebalanced_at{};
  TimePoint committed_at{};
  TimePoint unassigned_since{};
  bool is_lease_expiring = false;
  bool is_commit_pending = false;  ///< From PlanChange() to OnCommitted() or
                                   ///< Load().
  bool is_commit_due = false;      ///< Even if the map does not change.
  /// Until then, unknown servers may hold stripes.
  TimePoint paused_until{};
  int epoch = 0;
};

}  // namespace currantbeam
