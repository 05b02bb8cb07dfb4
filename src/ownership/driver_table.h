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

/// The placer's record of the driver of each backend server: the one gateway
/// that sends requests to it. A server is assigned to another gateway only once
/// its driver has released it, reported that its grants have expired, or lost
/// its driver lease.
class DriverTable {
 public:
  struct Driver {
    HostId gateway;
    FencingToken token = 0;
    bool healthy = false;
    bool lapsed = false;
    std::uint64_t acked_cursor = 0;
    TimePoint healthy_since;
    /// Set if the gateway restarted: when its previous run's lease expires.
    std::optional<TimePoint> orphaned_until;
    /// Since when the server is no longer in the gateway's assignments, on the
    /// placer's clock in microseconds; nullopt if it is.
    std::optional<std::int64_t> releasing_since;
  };

  /// A change of a server's driver, for the log.
  struct Decision {
    ServerId server;
    HostId gateway;
    FencingToken token = 0;
    bool lapsed = false;  ///< The driver lost the server; else assigned.
  };

  DriverTable(const LeaseTiming& timing, const Clock& clock);

  /// Clears the table for a new term. Drivers are adopted from the gateways'
  /// reports. Until every gateway has reported or its driver lease must have
  /// expired, no driver is assigned.
  /// @param leaderless_since  since when no other placer has been active.
  auto Start(Term term, TimePoint leaderless_since,
             const std::set<HostId>& gateways) -> void;
  auto SetGateways(const std::set<HostId>& gateways) -> void;
  /// Updates the drivers from a gateway's report.
  /// @param session  this placer's run; the confirmed cursor of a report to
  /// another run is ignored.
  /// @return true if the state of a server changed.
  auto OnReport(const Report& report, std::uint64_t session) -> bool;
  /// Removes drivers that lost their lease or their server, releases servers of
  /// leaving or overloaded gateways, and assigns drivers to servers without
  /// one.
  /// @param servers  the servers that need a driver.
  /// @return true if the assignments changed.
  auto Update(const std::map<ServerId, BackendServer>& servers) -> bool;

  auto TakeDecisions() -> std::vector<Decision> {
    return std::exchange(this->decisions, {});
  }

  [[nodiscard]] auto Find(const ServerId& server) const -> const Driver*;
  [[nodiscard]] auto AssignmentsFor(const HostId& gateway) const
      -> std::vector<DriverAssignment>;
  /// @return true if the server cannot hold a valid grant for any slot.
  [[nodiscard]] auto HasNoGrant(const ServerId& server) const -> bool;
  /// @return true if a driver reported the server as lapsed and no driver has
  /// reported it as healthy since.
  [[nodiscard]] auto IsLost(const ServerId& server) const -> bool;
  /// @return true if the server is healthy and became so at least the
  /// stabilization time ago, or was adopted when the term started.
  [[nodiscard]] auto IsStable(const ServerId& server) const -> bool;
  /// @return the server's previous driver if it was replaced because it lost
  /// its lease, else an empty id.
  [[nodiscard]] auto LostGateway(const ServerId& server) const -> HostId;
  [[nodiscard]] auto IsHealthy(const ServerId& server) const -> bool;
  /// @return true if the gateway reported within the last leader lease.
  [[nodiscard]] auto IsAlive(const HostId& gateway) const -> bool;
  /// @return true if the servers that the gateway drives have been adopted, so
  /// that the assignments for it are complete.
  [[nodiscard]] auto HasReported(const HostId& gateway) const -> bool;
  /// @return true while a gateway that has not reported yet may still drive
  /// servers under a lease of an earlier placer.
  [[nodiscard]] auto IsAdopting() const -> bool;
  [[nodiscard]] auto All() const -> const std::map<ServerId, Driver>& {
    return this->drivers;
  }

 private:
  struct GatewayState {
    bool reported = false;
    bool leaving = false;
    TimePoint last_report;
    std::uint64_t incarnation = 0;
  };
  /// @return when the gateway's driver lease has expired at the latest.
  [[nodiscard]] auto LeaseEnd(const HostId& gateway) const -> TimePoint;
  /// @return the gateway that drives the fewest servers, or an empty id if no
  /// gateway is alive and staying.
  [[nodiscard]] auto PickGateway() const -> HostId;
  auto Adopt(const Report& report) -> void;
  /// @return a token that is higher than all of earlier terms and of this term:
  /// the term's numbers in the upper bits, a counter in the lower ones.
  auto NextToken() -> FencingToken;
  auto RemoveLost() -> bool;
  auto RemoveReleased(const Report& report) -> void;
  auto ReleaseFromLeaving() -> bool;
  auto ReleaseFromBusiest() -> bool;
  [[nodiscard]] auto CountDrivenServers() const
      -> std::map<HostId, std::size_t>;

  LeaseTiming timing;
  const Clock& clock;
  Term term;
  std::uint32_t counter = 0;
  TimePoint leaderless_since;  ///< No earlier placer was active after this.
  std::map<HostId, GatewayState> gateways;
  std::map<ServerId, Driver> drivers;
  std::map<ServerId, TimePoint> retry_at;
  bool released = false;
  TimePoint next_rebalance;
  std::vector<Decision> decisions;
  std::set<ServerId> lost_servers;
  std::map<ServerId, HostId> lost_gateways;
};

}  // namespace currantbeam
