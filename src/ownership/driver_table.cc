#include "ownership/driver_table.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

/// After a driver lost a server, it gets a driver again after this delay.
constexpr auto kLapsedRetryDelay = std::chrono::milliseconds(250);
/// A server is assigned slots only after it has been healthy for this time.
constexpr auto kStabilizationTime = std::chrono::milliseconds(1500);
constexpr int kTermShiftBits = 32;
constexpr int kOfflineShiftBits = 24;
/// A server is moved to another driver if the busiest gateway drives at least
/// this many servers more than the least busy one.
constexpr std::size_t kMinDriverImbalance = 2;
constexpr auto kRebalanceInterval = std::chrono::milliseconds(1000);

}  // namespace

DriverTable::DriverTable(const LeaseTiming& timing, const Clock& clock)
    : timing(timing), clock(clock) {}

auto DriverTable::Start(Term term, TimePoint leaderless_since,
                        const std::set<HostId>& gateways) -> void {
  this->term = term;
  this->counter = 0;
  this->leaderless_since = leaderless_since;
  this->drivers.clear();
  this->gateways.clear();
  this->retry_at.clear();
  this->lost_servers.clear();
  this->lost_gateways.clear();
  this->SetGateways(gateways);
}

auto DriverTable::SetGateways(const std::set<HostId>& gateways) -> void {
  for (const auto& host : gateways) this->gateways[host];
}

auto DriverTable::NextToken() -> FencingToken {
  const auto high = static_cast<FencingToken>(this->term.number)
                    << kTermShiftBits;
  const auto mid = static_cast<FencingToken>(this->term.offline)
                   << kOfflineShiftBits;
  return high + mid + ++this->counter;
}

auto DriverTable::Adopt(const Report& report) -> void {
  for (const auto& driver : report.driven_servers) {
    auto& adopted = this->drivers[driver.server];
    if (adopted.token > driver.token) continue;
    adopted.gateway = report.gateway;
    adopted.token = driver.token;
    adopted.healthy_since = this->leaderless_since - kStabilizationTime;
  }
}

auto DriverTable::OnReport(const Report& report, std::uint64_t session)
    -> bool {
  bool changed = false;
  auto& gateway = this->gateways[report.gateway];
  if (!gateway.reported) {
    this->Adopt(report);
    changed = true;
  }
  if (gateway.reported && gateway.incarnation != report.incarnation) {
    // A restarted gateway drives no server, but the driver lease of its
    // previous run has to expire first.
    changed = true;
    const auto lease_end = this->LeaseEnd(report.gateway);
    for (auto& [server, driver] : this->drivers) {
      if (driver.gateway != report.gateway) continue;
      driver.healthy = false;
      if (!driver.orphaned_until) driver.orphaned_until = lease_end;
    }
  }
  gateway.reported = true;
  gateway.incarnation = report.incarnation;
  gateway.leaving = report.leaving;
  gateway.last_report = this->clock.Now();
  this->RemoveReleased(report);
  for (const auto& row : report.driven_servers) {
    const auto found = this->drivers.find(row.server);
    if (found == this->drivers.end()) continue;
    auto& driver = found->second;
    if (driver.gateway != report.gateway || driver.token != row.token) continue;
    if (row.healthy && !driver.healthy && driver.healthy_since == TimePoint()) {
      driver.healthy_since = this->clock.Now();
    }
    changed = changed || driver.healthy != row.healthy ||
              (row.lapsed && !driver.lapsed) ||
              driver.acked_cursor != row.acked_cursor;
    driver.healthy = row.healthy;
    if (row.healthy) this->lost_servers.erase(row.server);
    driver.lapsed = driver.lapsed || row.lapsed;
    if (report.session == session) driver.acked_cursor = row.acked_cursor;
  }
  return changed;
}

auto DriverTable::LeaseEnd(const HostId& gateway) const -> TimePoint {
  const auto lease =
      this->timing.driver_lease + this->timing.clock_drift_allowance;
  const auto found = this->gateways.find(gateway);
  if (found == this->gateways.end() || !found->second.reported) {
    return this->leaderless_since + lease;
  }
  return found->second.last_report + lease;
}

auto DriverTable::IsAlive(const HostId& gateway) const -> bool {
  const auto found = this->gateways.find(gateway);
  return found != this->gateways.end() && found->second.reported &&
         this->clock.Now() - found->second.last_report <
             this->timing.leader_lease;
}

auto DriverTable::HasReported(const HostId& gateway) const -> bool {
  const auto found = this->gateways.find(gateway);
  return found != this->gateways.end() && found->second.reported;
}

auto DriverTable::IsAdopting() const -> bool {
  const auto now = this->clock.Now();
  return std::any_of(
      this->gateways.begin(), this->gateways.end(), [&](const auto& entry) {
        return !entry.second.reported && now < this->LeaseEnd(entry.first);
      });
}

auto DriverTable::RemoveReleased(const Report& report) -> void {
  std::set<ServerId> held;
  for (const auto& row : report.driven_servers) held.insert(row.server);
  for (auto it = this->drivers.begin(); it != this->drivers.end();) {
    const auto& driver = it->second;
    const bool is_released = driver.gateway == report.gateway &&
                             driver.releasing_since.has_value() &&
                             report.echo > *driver.releasing_since &&
                             held.count(it->first) == 0;
    if (is_released) this->lost_gateways.erase(it->first);
    it = is_released ? this->drivers.erase(it) : std::next(it);
    this->released = this->released || is_released;
  }
}

auto DriverTable::CountDrivenServers() const -> std::map<HostId, std::size_t> {
  std::map<HostId, std::size_t> counts;
  for (const auto& [host, state] : this->gateways) {
    if (this->IsAlive(host) && !state.leaving) counts[host] = 0;
  }
  for (const auto& [server, driver] : this->drivers) {
    const auto found = counts.find(driver.gateway);
    if (found != counts.end()) ++found->second;
  }
  return counts;
}

auto DriverTable::ReleaseFromLeaving() -> bool {
  if (this->CountDrivenServers().empty()) return false;
  bool changed = false;
  for (auto& [server, driver] : this->drivers) {
    if (driver.releasing_since || driver.orphaned_until) continue;
    const auto found = this->gateways.find(driver.gateway);
    if (found == this->gateways.end() || !found->second.leaving) continue;
    driver.releasing_since = ToMicros(this->clock.Now());
    changed = true;
  }
  return changed;
}

auto DriverTable::ReleaseFromBusiest() -> bool {
  const auto now = this->clock.Now();
  if (now < this->next_rebalance) return false;
  this->next_rebalance = now + kRebalanceInterval;
  const auto counts = this->CountDrivenServers();
  if (counts.size() < 2) return false;
  const auto by_count = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  const auto [least, most] =
      std::minmax_element(counts.begin(), counts.end(), by_count);
  if (most->second < least->second + kMinDriverImbalance) return false;
  for (auto& [server, driver] : this->drivers) {
    if (driver.gateway != most->first || !driver.healthy) continue;
    if (driver.releasing_since || driver.orphaned_until) continue;
    driver.releasing_since = ToMicros(now);
    return true;
  }
  return false;
}

auto DriverTable::PickGateway() const -> HostId {
  const auto counts = this->CountDrivenServers();
  if (counts.empty()) return {};
  return std::min_element(
             counts.begin(), counts.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->first;
}

auto DriverTable::RemoveLost() -> bool {
  bool changed = false;
  const auto now = this->clock.Now();
  for (auto it = this->drivers.begin(); it != this->drivers.end();) {
    const auto& driver = it->second;
    const auto lease_end =
        driver.orphaned_until.value_or(this->LeaseEnd(driver.gateway));
    const bool lost = now >= lease_end;
    if (!lost && !driver.lapsed) {
      ++it;
      continue;
    }
    // In both cases no grant is valid any more: a grant doesn't outlast the
    // driver lease of the gateway that sent it.
    if (lost) this->lost_gateways[it->first] = driver.gateway;
    if (driver.lapsed) {
      this->decisions.push_back(
          {it->first, driver.gateway, driver.token, true});
      this->lost_servers.insert(it->first);
      this->retry_at[it->first] = now + kLapsedRetryDelay;
    }
    it = this->drivers.erase(it);
    changed = true;
  }
  return changed;
}

auto DriverTable::Update(const std::map<ServerId, BackendServer>& servers)
    -> bool {
  bool changed = this->RemoveLost();
  if (this->IsAdopting()) return changed;
  changed = std::exchange(this->released, false) || changed;
  changed = this->ReleaseFromLeaving() || changed;
  changed = this->ReleaseFromBusiest() || changed;
  const auto now = this->clock.Now();
  for (const auto& [id, server] : servers) {
    if (this->drivers.count(id) != 0) continue;
    const auto retry = this->retry_at.find(id);
    if (retry != this->retry_at.end() && now < retry->second) continue;
    const auto gateway = this->PickGateway();
    if (gateway.IsEmpty()) break;
    Driver driver;
    driver.gateway = gateway;
    driver.token = this->NextToken();
    this->drivers.emplace(id, driver);
    this->decisions.push_back({id, gateway, driver.token, false});
    changed = true;
  }
  return changed;
}

auto DriverTable::Find(const ServerId& server) const -> const Driver* {
  const auto found = this->drivers.find(server);
  return found == this->drivers.end() ? nullptr : &found->second;
}

auto DriverTable::AssignmentsFor(const HostId& gateway) const
    -> std::vector<DriverAssignment> {
  std::vector<DriverAssignment> result;
  for (const auto& [server, driver] : this->drivers) {
    if (driver.orphaned_until || driver.releasing_since) continue;
    if (driver.gateway == gateway) result.push_back({server, driver.token});
  }
  return result;
}

auto DriverTable::HasNoGrant(const ServerId& server) const -> bool {
  if (this->IsAdopting()) return false;
  const auto* driver = this->Find(server);
  if (driver != nullptr) return driver->lapsed;
  return true;
}

auto DriverTable::IsLost(const ServerId& server) const -> bool {
  return this->lost_servers.count(server) != 0;
}

auto DriverTable::LostGateway(const ServerId& server) const -> HostId {
  const auto found = this->lost_gateways.find(server);
  return found == this->lost_gateways.end() ? HostId() : found->second;
}

auto DriverTable::IsHealthy(const ServerId& server) const -> bool {
  const auto* driver = this->Find(server);
  return driver != nullptr && driver->healthy && !driver->lapsed;
}

auto DriverTable::IsStable(const ServerId& server) const -> bool {
  if (!this->IsHealthy(server)) return false;
  const auto* driver = this->Find(server);
  return this->clock.Now() - driver->healthy_since >= kStabilizationTime;
}

}  // namespace currantbeam
