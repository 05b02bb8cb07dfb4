#include "ownership/driven_server_set.h"

#include <algorithm>

namespace currantbeam {

DrivenServerSet::DrivenServerSet(const LeaseTiming& timing, const Clock& clock)
    : timing(timing), clock(clock) {}

auto DrivenServerSet::HasLease() const -> bool {
  return this->clock.Now() < this->lease_until;
}

auto DrivenServerSet::Renew(const Beat& beat) -> void {
  const bool had_lease = this->HasLease();
  if (beat.echo != 0) {
    const auto until = FromMicros(beat.echo) + this->timing.driver_lease;
    this->lease_until = std::max(this->lease_until, until);
  }
  std::map<ServerId, Drive> renewed;
  const auto now = this->clock.Now();
  for (const auto& order : beat.orders) {
    const auto found = this->drives.find(order.server);
    if (found != this->drives.end() && found->second.token == order.token) {
      renewed.insert(*found);
      if (!had_lease) renewed.at(order.server).last_confirmed = now;
      continue;
    }
    Drive drive;
    drive.token = order.token;
    drive.next_grant = now;
    drive.last_confirmed = now;
    // The server may still hold a grant of an earlier token or driver.
    drive.may_hold_until =
        now + this->timing.grant_duration + this->timing.clock_drift_allowance;
    renewed.emplace(order.server, drive);
  }
  this->drives.swap(renewed);
}

auto DrivenServerSet::SetOwned(std::map<ServerId, std::set<SlotIndex>> owned,
                               std::uint64_t session, std::uint64_t cursor)
    -> void {
  for (auto& [server, drive] : this->drives) {
    if (this->session != session) drive.aligned = 0;
    if (this->owned[server] != owned[server]) {
      drive.next_grant = this->clock.Now();
    }
  }
  this->owned = std::move(owned);
  this->session = session;
  this->cursor = cursor;
}

auto DrivenServerSet::UpdateLapsed(Drive& drive) -> void {
  const auto now = this->clock.Now();
  // Without a lease no grant was tried, which says nothing of the server.
  if (!this->HasLease()) return;
  if (this->IsHealthy(drive) || now < drive.may_hold_until) return;
  drive.lapsed = true;
}

auto DrivenServerSet::IsHealthy(const Drive& drive) const -> bool {
  return !drive.lapsed &&
         this->clock.Now() < drive.last_confirmed + this->timing.grant_duration;
}

auto DrivenServerSet::DueGrants() -> std::vector<GrantAttempt> {
  std::vector<GrantAttempt> due;
  const auto now = this->clock.Now();
  for (auto& [server, drive] : this->drives) {
    this->UpdateLapsed(drive);
    if (drive.lapsed || drive.outstanding) continue;
    if (!this->HasLease() || now < drive.next_grant) continue;
    due.push_back(this->MakeAttempt(server, drive));
  }
  return due;
}

auto DrivenServerSet::MakeAttempt(const ServerId& server, Drive& drive)
    -> GrantAttempt {
  GrantAttempt attempt;
  attempt.server = server;
  attempt.sent_at = this->clock.Now();
  attempt.session = this->session;
  attempt.cursor = this->cursor;
  attempt.complete = true;
  attempt.grant.token = drive.token;
  attempt.grant.sequence = ++drive.sequence;
  drive.outstanding = true;
  drive.next_grant = attempt.sent_at + this->timing.grant_renewal_interval;
  if (!drive.server_clock.has_value()) return attempt;

  // The sample was taken between sampled_sent and sampled_received, so the
  // server's expiry falls between usable_until and may_hold_until.
  const auto lease_left = this->lease_until -
                          this->timing.clock_drift_allowance -
                          drive.sampled_received;
  const auto length = std::min(this->timing.grant_duration, lease_left);
  if (length <= Duration::zero()) return attempt;
  auto slots = this->owned[server];
  for (const auto slot : drive.confirmed) {
    if (slots.count(slot) != 0) continue;
    if (this->working.count({server, slot}) == 0) continue;
    slots.insert(slot);
    attempt.complete = false;
  }
  attempt.grant.server_run = drive.server_run;
  attempt.grant.expires_at = *drive.server_clock + length.count();
  attempt.grant.slots = {slots.begin(), slots.end()};
  attempt.usable_until = drive.sampled_sent + length;
  drive.may_hold_until =
      std::max(drive.may_hold_until, drive.sampled_received + length +
                                         this->timing.clock_drift_allowance);
  return attempt;
}

auto DrivenServerSet::Matches(const GrantAttempt& attempt) -> Drive* {
  const auto found = this->drives.find(attempt.server);
  if (found == this->drives.end()) return nullptr;
  auto& drive = found->second;
  if (drive.token != attempt.grant.token) return nullptr;
  if (drive.sequence != attempt.grant.sequence) return nullptr;
  return &drive;
}

auto DrivenServerSet::Confirm(const GrantAttempt& attempt,
                              const GrantAnswer& answer) -> void {
  auto* drive = this->Matches(attempt);
  if (drive == nullptr) return;
  drive->outstanding = false;
  const auto now = this->clock.Now();
  // Fenced off by another driver, or out of step with this token's grants:
  // the drive lapses and is ordered anew.
  const bool is_same_run = drive->server_run == answer.server_run;
  if (!answer.accepted && is_same_run) return;
  if (!answer.accepted && answer.token > drive->token) return;
  const bool first = !drive->server_clock.has_value() ||
                     drive->server_run != answer.server_run;
  drive->server_clock = answer.clock;
  drive->server_run = answer.server_run;
  drive->sampled_sent = attempt.sent_at;
  drive->sampled_received = now;
  drive->last_confirmed = now;
  if (first) drive->next_grant = now;
  if (!answer.accepted) {
    drive->confirmed.clear();
    return;
  }
  const auto& slots = attempt.grant.slots;
  drive->confirmed = {slots.begin(), slots.end()};
  drive->usable_until = attempt.usable_until;
  // A hello gives nothing, so it accords with nothing but an empty set.
  const bool gives = attempt.grant.expires_at != 0;
  if (attempt.session != this->session) return;
  if (attempt.complete && (gives || this->owned[attempt.server].empty())) {
    drive->aligned = attempt.cursor;
  }
}

auto DrivenServerSet::Fail(const GrantAttempt& attempt) -> void {
  auto* drive = this->Matches(attempt);
  if (drive != nullptr) drive->outstanding = false;
}

auto DrivenServerSet::MayDispatch(const ServerId& server, SlotIndex slot) const
    -> std::optional<FencingToken> {
  const auto found = this->drives.find(server);
  if (found == this->drives.end()) return std::nullopt;
  const auto& drive = found->second;
  const auto now = this->clock.Now();
  if (drive.lapsed || !this->HasLease() || now >= drive.usable_until) {
    return std::nullopt;
  }
  if (drive.confirmed.count(slot) == 0) return std::nullopt;
  const auto owned = this->owned.find(server);
  if (owned == this->owned.end() || owned->second.count(slot) == 0) {
    return std::nullopt;
  }
  return drive.token;
}

auto DrivenServerSet::BeginWork(const ServerId& server, SlotIndex slot)
    -> void {
  ++this->working[{server, slot}];
}

auto DrivenServerSet::EndWork(const ServerId& server, SlotIndex slot) -> void {
  const auto found = this->working.find({server, slot});
  if (found == this->working.end()) return;
  if (--found->second > 0) return;
  this->working.erase(found);
  const auto drive = this->drives.find(server);
  if (drive == this->drives.end()) return;
  if (this->owned[server].count(slot) == 0) {
    drive->second.next_grant = this->clock.Now();
  }
}

auto DrivenServerSet::HasLapsed(const ServerId& server) const -> bool {
  const auto found = this->drives.find(server);
  return found != this->drives.end() && found->second.lapsed;
}

auto DrivenServerSet::Drives(const ServerId& server) const -> bool {
  return this->drives.count(server) != 0;
}

auto DrivenServerSet::Reports() const -> std::vector<DriveReport> {
  std::vector<DriveReport> reports;
  for (const auto& [server, drive] : this->drives) {
    DriveReport report;
    report.server = server;
    report.token = drive.token;
    report.healthy = this->IsHealthy(drive) && drive.server_clock.has_value();
    report.lapsed = drive.lapsed;
    report.aligned = drive.aligned;
    reports.push_back(report);
  }
  return reports;
}

}  // namespace currantbeam
