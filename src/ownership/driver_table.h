#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "ownership/host_list.h"
#include "ownership/messages.h"

namespace currantbeam {

/// A placer's record of which gateway drives which backend server. Another
/// gateway is ordered to drive a server only once the lease of the one before
/// has run out or was given up.
class DriverTable {
 public:
  struct Drive {
    HostId gateway;
    FencingToken token = 0;
    bool healthy = false;
    bool lapsed = false;
    std::uint64_t aligned = 0;
    TimePoint healthy_since;
    /// Set if the gateway restarted: when the lease of its last run ends.
    std::optional<TimePoint> orphaned_until;
    /// Set if the gateway was told to let go: placer's clock, microseconds.
    std::optional<std::int64_t> releasing_since;
  };

  /// A decision about who drives a server, for the log.
  struct Decision {
    ServerId server;
    HostId gateway;
    FencingToken token = 0;
    bool lapsed = false;  ///< The server was lost; else it was ordered.
  };

  DriverTable(const LeaseTiming& timing, const Clock& clock);

  /// Forgets all and starts anew for a term: drives are adopted from reports;
  /// what no gateway reports is held to be driven until a lease has passed.
  /// @param vacant_since  since when no other placer has been active.
  auto Start(Term term, TimePoint vacant_since,
             const std::set<HostId>& gateways) -> void;
  auto SetGateways(const std::set<HostId>& gateways) -> void;
  /// @param session  reports to another session do not count as alignment.
  /// @return true if a server's state changed.
  auto OnReport(const Report& report, std::uint64_t session) -> bool;
  /// Lets go of drives whose gateway is lost, and orders new ones.
  /// @param servers  the servers that are to be driven.
  /// @return true if orders changed.
  auto Update(const std::map<ServerId, BackendServer>& servers) -> bool;

  auto TakeDecisions() -> std::vector<Decision> {
    return std::exchange(this->decisions, {});
  }

  [[nodiscard]] auto Find(const ServerId& server) const -> const Drive*;
  [[nodiscard]] auto OrdersFor(const HostId& gateway) const
      -> std::vector<DriveOrder>;
  /// @return true if no grant of any slot to the server can be in force.
  [[nodiscard]] auto HoldsNothing(const ServerId& server) const -> bool;
  /// @return true if its driver lost the server, and none has reached it since.
  [[nodiscard]] auto IsLost(const ServerId& server) const -> bool;
  /// @return true if the server has been healthy for the settling time, or
  /// was so when the term started.
  [[nodiscard]] auto IsSettled(const ServerId& server) const -> bool;
  /// @return the gateway whose loss made another drive the server, if any.
  [[nodiscard]] auto LostGateway(const ServerId& server) const -> HostId;
  [[nodiscard]] auto IsHealthy(const ServerId& server) const -> bool;
  [[nodiscard]] auto IsAlive(const HostId& gateway) const -> bool;
  /// @return true if what the gateway drives is known, so that orders to it
  /// are complete.
  [[nodiscard]] auto HasReported(const HostId& gateway) const -> bool;
  /// @return true while some gateway may hold drives that are not known of.
  [[nodiscard]] auto IsAdopting() const -> bool;
  [[nodiscard]] auto All() const -> const std::map<ServerId, Drive>& {
    return this->drives;
  }

 private:
  struct GatewayState {
    bool reported = false;
    bool leaving = false;
    TimePoint last_report;
    std::uint64_t incarnation = 0;
  };
  [[nodiscard]] auto LeaseEnd(const HostId& gateway) const -> TimePoint;
  [[nodiscard]] auto PickGateway() const -> HostId;
  auto Adopt(const Report& report) -> void;
  auto NextToken() -> FencingToken;
  auto ReleaseLost() -> bool;
  auto TakeReleased(const Report& report) -> void;
  auto ReleaseFromLeaving() -> bool;
  auto ReleaseFromBusiest() -> bool;
  [[nodiscard]] auto CountDrives() const -> std::map<HostId, std::size_t>;

  LeaseTiming timing;
  const Clock& clock;
  Term term;
  std::uint32_t counter = 0;
  TimePoint vacant_since;  ///< No earlier placer gave a lease after this.
  std::map<HostId, GatewayState> gateways;
  std::map<ServerId, Drive> drives;
  std::map<ServerId, TimePoint> retry_at;
  bool released = false;
  TimePoint next_evening;
  std::vector<Decision> decisions;
  std::set<ServerId> lost_servers;
  std::map<ServerId, HostId> lost_gateways;
};

}  // namespace currantbeam
