#include "ownership/driven_server_set.h"

#include <algorithm>

namespace currantbeam {

DrivenServerSet::DrivenServerSet(const LeaseTiming& timing, const Clock& clock)
    : timing(timing), clock(clock) {}

auto DrivenServerSet::HasLease() const -> bool {
  return this->clock.Now() < this->lease_until;
}

auto DrivenServerSet::Renew(const Heartbeat& heartbeat) -> void {
  const bool had_lease = this->HasLease();
  if (heartbeat.echo != 0) {
    const auto until = FromMicros(heartbeat.echo) + this->timing.driver_lease;
    this->lease_until = std::max(this->lease_until, until);
  }
  std::map<ServerId, ServerState> renewed;
  const auto now = this->clock.Now();
  for (const auto& assignment : heartbeat.assignments) {
    const auto found = this->servers.find(assignment.server);
    if (found != this->servers.end() &&
        found->second.token == assignment.token) {
      renewed.insert(*found);
      if (!had_lease) renewed.at(assignment.server).last_confirmed = now;
      continue;
    }
    ServerState state;
    state.token = assignment.token;
    state.next_grant = now;
    state.last_confirmed = now;
    // The server may still hold a grant sent with an earlier token.
    state.may_hold_until =
        now + this->timing.grant_duration + this->timing.clock_drift_allowance;
    renewed.emplace(assignment.server, state);
  }
  this->servers.swap(renewed);
}

auto DrivenServerSet::SetOwned(std::map<ServerId, std::set<SlotIndex>> owned,
                               std::uint64_t session, std::uint64_t cursor)
    -> void {
  for (auto& [server, state] : this->servers) {
    if (this->session != session) state.acked_cursor = 0;
    if (this->owned[server] != owned[server]) {
      state.next_grant = this->clock.Now();
    }
  }
  this->owned = std::move(owned);
  this->session = session;
  this->cursor = cursor;
}

auto DrivenServerSet::UpdateLapsed(ServerState& state) -> void {
  const auto now = this->clock.Now();
  // No grants are sent without a driver lease, so missing confirmations don't
  // show that the server is unreachable.
  if (!this->HasLease()) return;
  if (this->IsHealthy(state) || now < state.may_hold_until) return;
  state.lapsed = true;
}

auto DrivenServerSet::IsHealthy(const ServerState& state) const -> bool {
  return !state.lapsed &&
         this->clock.Now() < state.last_confirmed + this->timing.grant_duration;
}

auto DrivenServerSet::DueGrants() -> std::vector<GrantAttempt> {
  std::vector<GrantAttempt> due;
  const auto now = this->clock.Now();
  for (auto& [server, state] : this->servers) {
    this->UpdateLapsed(state);
    if (state.lapsed || state.outstanding) continue;
    if (!this->HasLease() || now < state.next_grant) continue;
    due.push_back(this->MakeAttempt(server, state));
  }
  return due;
}

auto DrivenServerSet::MakeAttempt(const ServerId& server, ServerState& state)
    -> GrantAttempt {
  GrantAttempt attempt;
  attempt.server = server;
  attempt.sent_at = this->clock.Now();
  attempt.session = this->session;
  attempt.cursor = this->cursor;
  attempt.complete = true;
  attempt.grant.token = state.token;
  attempt.grant.sequence = ++state.sequence;
  state.outstanding = true;
  state.next_grant = attempt.sent_at + this->timing.grant_renewal_interval;
  if (!state.server_clock.has_value()) return attempt;

  // The server read its clock between sample_sent_at and sample_received_at, so
  // the grant expires there between dispatch_until and may_hold_until.
  const auto lease_left = this->lease_until -
                          this->timing.clock_drift_allowance -
                          state.sample_received_at;
  const auto length = std::min(this->timing.grant_duration, lease_left);
  if (length <= Duration::zero()) return attempt;
  auto slots = this->owned[server];
  for (const auto slot : state.confirmed) {
    if (slots.count(slot) != 0) continue;
    if (this->in_flight.count({server, slot}) == 0) continue;
    slots.insert(slot);
    attempt.complete = false;
  }
  attempt.grant.server_run = state.server_run;
  attempt.grant.expires_at = *state.server_clock + length.count();
  attempt.grant.slots = {slots.begin(), slots.end()};
  attempt.dispatch_until = state.sample_sent_at + length;
  state.may_hold_until =
      std::max(state.may_hold_until, state.sample_received_at + length +
                                         this->timing.clock_drift_allowance);
  return attempt;
}

auto DrivenServerSet::Matches(const GrantAttempt& attempt) -> ServerState* {
  const auto found = this->servers.find(attempt.server);
  if (found == this->servers.end()) return nullptr;
  auto& state = found->second;
  if (state.token != attempt.grant.token) return nullptr;
  if (state.sequence != attempt.grant.sequence) return nullptr;
  return &state;
}

auto DrivenServerSet::Confirm(const GrantAttempt& attempt,
                              const GrantAnswer& answer) -> void {
  auto* state = this->Matches(attempt);
  if (state == nullptr) return;
  state->outstanding = false;
  const auto now = this->clock.Now();
  // The server has a higher token or a later sequence number. Nothing is
  // confirmed, so the server lapses and the placer assigns a driver again.
  const bool is_same_run = state->server_run == answer.server_run;
  if (!answer.accepted && is_same_run) return;
  if (!answer.accepted && answer.token > state->token) return;
  const bool first = !state->server_clock.has_value() ||
                     state->server_run != answer.server_run;
  state->server_clock = answer.clock;
  state->server_run = answer.server_run;
  state->sample_sent_at = attempt.sent_at;
  state->sample_received_at = now;
  state->last_confirmed = now;
  if (first) state->next_grant = now;
  if (!answer.accepted) {
    state->confirmed.clear();
    return;
  }
  const auto& slots = attempt.grant.slots;
  state->confirmed = {slots.begin(), slots.end()};
  state->dispatch_until = attempt.dispatch_until;
  // A clock probe grants no slots, so it confirms the cursor only if the server
  // is to own none.
  const bool has_expiry = attempt.grant.expires_at != 0;
  if (attempt.session != this->session) return;
  if (attempt.complete && (has_expiry || this->owned[attempt.server].empty())) {
    state->acked_cursor = attempt.cursor;
  }
}

auto DrivenServerSet::Fail(const GrantAttempt& attempt) -> void {
  auto* state = this->Matches(attempt);
  if (state != nullptr) state->outstanding = false;
}

auto DrivenServerSet::DispatchToken(const ServerId& server,
                                    SlotIndex slot) const
    -> std::optional<FencingToken> {
  const auto found = this->servers.find(server);
  if (found == this->servers.end()) return std::nullopt;
  const auto& state = found->second;
  const auto now = this->clock.Now();
  if (state.lapsed || !this->HasLease() || now >= state.dispatch_until) {
    return std::nullopt;
  }
  if (state.confirmed.count(slot) == 0) return std::nullopt;
  const auto owned = this->owned.find(server);
  if (owned == this->owned.end() || owned->second.count(slot) == 0) {
    return std::nullopt;
  }
  return state.token;
}

auto DrivenServerSet::BeginWork(const ServerId& server, SlotIndex slot)
    -> void {
  ++this->in_flight[{server, slot}];
}

auto DrivenServerSet::EndWork(const ServerId& server, SlotIndex slot) -> void {
  const auto found = this->in_flight.find({server, slot});
  if (found == this->in_flight.end()) return;
  if (--found->second > 0) return;
  this->in_flight.erase(found);
  const auto state = this->servers.find(server);
  if (state == this->servers.end()) return;
  if (this->owned[server].count(slot) == 0) {
    state->second.next_grant = this->clock.Now();
  }
}

auto DrivenServerSet::HasLapsed(const ServerId& server) const -> bool {
  const auto found = this->servers.find(server);
  return found != this->servers.end() && found->second.lapsed;
}

auto DrivenServerSet::Contains(const ServerId& server) const -> bool {
  return this->servers.count(server) != 0;
}

auto DrivenServerSet::Reports() const -> std::vector<DrivenServerReport> {
  std::vector<DrivenServerReport> reports;
  for (const auto& [server, state] : this->servers) {
    DrivenServerReport report;
    report.server = server;
    report.token = state.token;
    report.healthy = this->IsHealthy(state) && state.server_clock.has_value();
    report.lapsed = state.lapsed;
    report.acked_cursor = state.acked_cursor;
    reports.push_back(report);
  }
  return reports;
}

}  // namespace currantbeam
