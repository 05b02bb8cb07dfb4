#include "ownership/driver_table.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

constexpr auto kRetryLapsed = std::chrono::milliseconds(250);
constexpr auto kSettlingTime = std::chrono::milliseconds(1500);
constexpr int kTermShift = 32;
constexpr int kDeputyShift = 24;
/// A gateway may drive this many more servers than another.
constexpr std::size_t kUnevenDrives = 2;
constexpr auto kEveningInterval = std::chrono::milliseconds(1000);

}  // namespace

DriverTable::DriverTable(const LeaseTiming& timing, const Clock& clock)
    : timing(timing), clock(clock) {}

auto DriverTable::Start(Term term, TimePoint vacant_since,
                        const std::set<HostId>& gateways) -> void {
  this->term = term;
  this->counter = 0;
  this->vacant_since = vacant_since;
  this->drives.clear();
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
  const auto high = static_cast<FencingToken>(this->term.number) << kTermShift;
  const auto mid = static_cast<FencingToken>(this->term.offline)
                   << kDeputyShift;
  return high + mid + ++this->counter;
}

auto DriverTable::Adopt(const Report& report) -> void {
  for (const auto& drive : report.drives) {
    auto& known = this->drives[drive.server];
    if (known.token > drive.token) continue;
    known.gateway = report.gateway;
    known.token = drive.token;
    known.healthy_since = this->vacant_since - kSettlingTime;
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
    // A restarted gateway drives nothing, but the lease of its last run has
    // to pass.
    changed = true;
    const auto lease_end = this->LeaseEnd(report.gateway);
    for (auto& [server, drive] : this->drives) {
      if (drive.gateway != report.gateway) continue;
      drive.healthy = false;
      if (!drive.orphaned_until) drive.orphaned_until = lease_end;
    }
  }
  gateway.reported = true;
  gateway.incarnation = report.incarnation;
  gateway.leaving = report.leaving;
  gateway.last_report = this->clock.Now();
  this->TakeReleased(report);
  for (const auto& row : report.drives) {
    const auto found = this->drives.find(row.server);
    if (found == this->drives.end()) continue;
    auto& drive = found->second;
    if (drive.gateway != report.gateway || drive.token != row.token) continue;
    if (row.healthy && !drive.healthy && drive.healthy_since == TimePoint()) {
      drive.healthy_since = this->clock.Now();
    }
    changed = changed || drive.healthy != row.healthy ||
              (row.lapsed && !drive.lapsed) || drive.aligned != row.aligned;
    drive.healthy = row.healthy;
    if (row.healthy) this->lost_servers.erase(row.server);
    drive.lapsed = drive.lapsed || row.lapsed;
    if (report.session == session) drive.aligned = row.aligned;
  }
  return changed;
}

auto DriverTable::LeaseEnd(const HostId& gateway) const -> TimePoint {
  const auto lease =
      this->timing.driver_lease + this->timing.clock_drift_allowance;
  const auto found = this->gateways.find(gateway);
  if (found == this->gateways.end() || !found->second.reported) {
    return this->vacant_since + lease;
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

auto DriverTable::TakeReleased(const Report& report) -> void {
  std::set<ServerId> held;
  for (const auto& row : report.drives) held.insert(row.server);
  for (auto it = this->drives.begin(); it != this->drives.end();) {
    const auto& drive = it->second;
    const bool let_go =
        drive.gateway == report.gateway && drive.releasing_since.has_value() &&
        report.echo > *drive.releasing_since && held.count(it->first) == 0;
    if (let_go) this->lost_gateways.erase(it->first);
    it = let_go ? this->drives.erase(it) : std::next(it);
    this->released = this->released || let_go;
  }
}

auto DriverTable::CountDrives() const -> std::map<HostId, std::size_t> {
  std::map<HostId, std::size_t> counts;
  for (const auto& [host, state] : this->gateways) {
    if (this->IsAlive(host) && !state.leaving) counts[host] = 0;
  }
  for (const auto& [server, drive] : this->drives) {
    const auto found = counts.find(drive.gateway);
    if (found != counts.end()) ++found->second;
  }
  return counts;
}

auto DriverTable::ReleaseFromLeaving() -> bool {
  if (this->CountDrives().empty()) return false;
  bool changed = false;
  for (auto& [server, drive] : this->drives) {
    if (drive.releasing_since || drive.orphaned_until) continue;
    const auto found = this->gateways.find(drive.gateway);
    if (found == this->gateways.end() || !found->second.leaving) continue;
    drive.releasing_since = ToMicros(this->clock.Now());
    changed = true;
  }
  return changed;
}

auto DriverTable::ReleaseFromBusiest() -> bool {
  const auto now = this->clock.Now();
  if (now < this->next_evening) return false;
  this->next_evening = now + kEveningInterval;
  const auto counts = this->CountDrives();
  if (counts.size() < 2) return false;
  const auto by_count = [](const auto& a, const auto& b) {
    return a.second < b.second;
  };
  const auto [least, most] =
      std::minmax_element(counts.begin(), counts.end(), by_count);
  if (most->second < least->second + kUnevenDrives) return false;
  for (auto& [server, drive] : this->drives) {
    if (drive.gateway != most->first || !drive.healthy) continue;
    if (drive.releasing_since || drive.orphaned_until) continue;
    drive.releasing_since = ToMicros(now);
    return true;
  }
  return false;
}

auto DriverTable::PickGateway() const -> HostId {
  const auto counts = this->CountDrives();
  if (counts.empty()) return {};
  return std::min_element(
             counts.begin(), counts.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->first;
}

auto DriverTable::ReleaseLost() -> bool {
  bool changed = false;
  const auto now = this->clock.Now();
  for (auto it = this->drives.begin(); it != this->drives.end();) {
    const auto& drive = it->second;
    const auto lease_end =
        drive.orphaned_until.value_or(this->LeaseEnd(drive.gateway));
    const bool lost = now >= lease_end;
    if (!lost && !drive.lapsed) {
      ++it;
      continue;
    }
    // Either way no grant is in force any more: the gateway's lease bounds
    // the grants that it gave.
    if (lost) this->lost_gateways[it->first] = drive.gateway;
    if (drive.lapsed) {
      this->decisions.push_back({it->first, drive.gateway, drive.token, true});
      this->lost_servers.insert(it->first);
      this->retry_at[it->first] = now + kRetryLapsed;
    }
    it = this->drives.erase(it);
    changed = true;
  }
  return changed;
}

auto DriverTable::Update(const std::map<ServerId, BackendServer>& servers)
    -> bool {
  bool changed = this->ReleaseLost();
  if (this->IsAdopting()) return changed;
  changed = std::exchange(this->released, false) || changed;
  changed = this->ReleaseFromLeaving() || changed;
  changed = this->ReleaseFromBusiest() || changed;
  const auto now = this->clock.Now();
  for (const auto& [id, server] : servers) {
    if (this->drives.count(id) != 0) continue;
    const auto retry = this->retry_at.find(id);
    if (retry != this->retry_at.end() && now < retry->second) continue;
    const auto gateway = this->PickGateway();
    if (gateway.IsEmpty()) break;
    Drive drive;
    drive.gateway = gateway;
    drive.token = this->NextToken();
    this->drives.emplace(id, drive);
    this->decisions.push_back({id, gateway, drive.token, false});
    changed = true;
  }
  return changed;
}

auto DriverTable::Find(const ServerId& server) const -> const Drive* {
  const auto found = this->drives.find(server);
  return found == this->drives.end() ? nullptr : &found->second;
}

auto DriverTable::OrdersFor(const HostId& gateway) const
    -> std::vector<DriveOrder> {
  std::vector<DriveOrder> orders;
  for (const auto& [server, drive] : this->drives) {
    if (drive.orphaned_until || drive.releasing_since) continue;
    if (drive.gateway == gateway) orders.push_back({server, drive.token});
  }
  return orders;
}

auto DriverTable::HoldsNothing(const ServerId& server) const -> bool {
  if (this->IsAdopting()) return false;
  const auto* drive = this->Find(server);
  if (drive != nullptr) return drive->lapsed;
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
  const auto* drive = this->Find(server);
  return drive != nullptr && drive->healthy && !drive->lapsed;
}

auto DriverTable::IsSettled(const ServerId& server) const -> bool {
  if (!this->IsHealthy(server)) return false;
  const auto* drive = this->Find(server);
  return this->clock.Now() - drive->healthy_since >= kSettlingTime;
}

}  // namespace currantbeam
