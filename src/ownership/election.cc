#include "ownership/election.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// After this time without the term record from the platform's table, a
/// campaign goes on with an offline term.
constexpr auto kTermReadTimeout = std::chrono::milliseconds(80);
constexpr auto kCampaignTimeout = std::chrono::milliseconds(600);
constexpr auto kStandbyReadInterval = std::chrono::milliseconds(1000);
/// The first election of a domain waits at most this long for all gateways.
constexpr auto kFirstElectionTimeout = std::chrono::milliseconds(1500);
/// Delay of a campaign per rank.
constexpr auto kRankDelay = std::chrono::milliseconds(100);
/// In a term without a known row, the table is tried again with this period.
constexpr auto kTermRetryInterval = std::chrono::milliseconds(500);
constexpr int kMaxMissedHeartbeats = 3;

}  // namespace

auto to_json(nlohmann::json& json, const TermRecord& record) -> void {
  auto voters = nlohmann::json::array();
  for (const auto& voter : record.voters) {
    voters.push_back({voter.host, voter.incarnation});
  }
  json = {
      {"number", record.number}, {"holder", record.holder}, {"voters", voters}};
}

auto from_json(const nlohmann::json& json, TermRecord& record) -> void {
  json.at("number").get_to(record.number);
  json.at("holder").get_to(record.holder);
  record.voters.clear();
  for (const auto& voter : json.at("voters")) {
    record.voters.push_back(
        {voter.at(0).get<HostId>(), voter.at(1).get<std::uint64_t>()});
  }
}

Election::Election(HostId self, FailureDomain domain, const LeaseTiming& timing,
                   const Clock& clock)
    : self(std::move(self)),
      domain(std::move(domain)),
      timing(timing),
      clock(clock),
      started_at(clock.Now()) {}

auto Election::RowKey() const -> std::string {
  return "term/" + this->domain.Value();
}

auto Election::SetGateways(std::set<HostId> gateways, int rank) -> void {
  this->gateways = std::move(gateways);
  this->rank = rank;
}

auto Election::OnReport(const Report& report) -> void {
  auto& status = this->statuses[report.gateway];
  if (status.report.incarnation == report.incarnation &&
      report.clock < status.report.clock) {
    return;  // A newer report has arrived before.
  }
  const auto now = this->clock.Now();
  const bool follows_other =
      !report.followed_placer.IsEmpty() && report.followed_placer != this->self;
  if (follows_other || now - status.received_at >= this->timing.leader_lease) {
    this->last_leader_at = now;
  }
  status.report = report;
  status.report.documents.clear();
  status.received_at = now;
  status.heartbeat_sent_at = FromMicros(report.echo);
}

auto Election::OnTermDocument(const Document& document) -> void {
  const auto learned = document.body.get<TermRecord>();
  if (this->is_row_known && learned.number <= this->record.number) return;
  this->record = learned;
  this->is_row_known = true;
  this->row_version = 0;
}

auto Election::HasMajority(const Voters& voters, int count) const -> bool {
  return 2 * count > static_cast<int>(voters.size());
}

auto Election::CountsAsFollower(const Voter& voter,
                                const GatewayStatus& status) const -> bool {
  // An offline term is not in the table and relies on the highest term that
  // the voters have in memory, which a restart loses.
  if (this->term.offline == 0) return true;
  return status.report.incarnation == voter.incarnation;
}

auto Election::FollowedUntil(const Voters& voters) const -> TimePoint {
  std::vector<TimePoint> sent_times;
  for (const auto& voter : voters) {
    const auto found = this->statuses.find(voter.host);
    if (found == this->statuses.end()) continue;
    const auto& report = found->second.report;
    if (report.followed_placer != this->self) continue;
    if (report.followed_term != this->term &&
        report.followed_term != this->previous_term) {
      continue;
    }
    if (!this->CountsAsFollower(voter, found->second)) continue;
    sent_times.push_back(found->second.heartbeat_sent_at);
  }
  if (voters.empty() ||
      !this->HasMajority(voters, static_cast<int>(sent_times.size()))) {
    return TimePoint();
  }
  std::sort(sent_times.rbegin(), sent_times.rend());
  return sent_times[voters.size() / 2] + this->timing.leader_lease;
}

auto Election::ActiveUntil() const -> TimePoint {
  const auto until = this->FollowedUntil(this->record.voters);
  if (this->previous_voters.empty()) return until;
  return std::min(until, this->FollowedUntil(this->previous_voters));
}

auto Election::IsActive() const -> bool {
  return this->role == Role::kActive && this->clock.Now() < this->ActiveUntil();
}

auto Election::HighestTerm() const -> Term {
  Term highest;
  for (const auto& [host, status] : this->statuses) {
    highest = std::max(highest, status.report.highest_term);
  }
  return highest;
}

auto Election::ResponsiveGateways() const -> Voters {
  Voters responsive;
  const auto now = this->clock.Now();
  for (const auto& host : this->gateways) {
    const auto found = this->statuses.find(host);
    if (found == this->statuses.end()) continue;
    if (now - found->second.received_at >
        kMaxMissedHeartbeats * this->timing.heartbeat_interval) {
      continue;
    }
    responsive.push_back({host, found->second.report.incarnation});
  }
  return responsive;
}

auto Election::MayCampaign() const -> bool {
  const auto now = this->clock.Now();
  const auto is_available = [&](const HostId& host) {
    const auto found = this->statuses.find(host);
    if (found == this->statuses.end()) return false;
    const auto& report = found->second.report;
    if (now - found->second.received_at >
        kMaxMissedHeartbeats * this->timing.heartbeat_interval) {
      return false;
    }
    if (!report.eligible) return false;
    return report.followed_placer.IsEmpty() ||
           report.followed_placer == this->self;
  };
  if (!this->is_row_known || this->record.voters.empty()) {
    const auto responsive = this->ResponsiveGateways();
    if (responsive.empty()) return false;
    for (const auto& voter : responsive) {
      if (!is_available(voter.host)) return false;
    }
    return responsive.size() == this->gateways.size() ||
           now - this->started_at >= kFirstElectionTimeout;
  }
  int available = 0;
  for (const auto& voter : this->record.voters) {
    if (is_available(voter.host)) ++available;
  }
  return this->HasMajority(this->record.voters, available);
}

auto Election::Tick() -> void {
  switch (this->role) {
    case Role::kStandby:
      this->TickStandby();
      return;
    case Role::kCandidate:
      if (this->clock.Now() < this->ActiveUntil()) {
        this->role = Role::kActive;
      } else if (this->clock.Now() >= this->campaign_until) {
        this->StepDown();
      }
      return;
    case Role::kActive:
      this->TickActive();
      return;
  }
}

auto Election::TickStandby() -> void {
  const auto now = this->clock.Now();
  if (this->proposal.has_value()) return;  // A commit is in flight.
  if (now - this->last_read_at >= kStandbyReadInterval) this->needs_read = true;
  if (!this->MayCampaign()) {
    this->leaderless_since = TimePoint();
    return;
  }
  if (this->leaderless_since == TimePoint()) this->leaderless_since = now;
  if (now < this->leaderless_since + this->rank * kRankDelay) return;
  if (now < this->next_attempt) return;
  if (this->campaign_after_read) {
    // Without a response from the platform, a majority of the gateways is
    // enough for an offline term.
    if (now >= this->read_deadline) this->StartOfflineCampaign();
    return;
  }
  this->needs_read = true;
  this->campaign_after_read = true;
  this->read_deadline = now + kTermReadTimeout;
}

auto Election::TickActive() -> void {
  const auto now = this->clock.Now();
  if (now >= this->ActiveUntil()) {
    this->StepDown();
    return;
  }
  if (!this->previous_voters.empty()) {
    // The change of voters is complete once a majority of the new ones and a
    // majority of the previous ones follow this term.
    const auto saved_term = this->previous_term;
    this->previous_term = this->term;
    const bool settled = now < this->ActiveUntil();
    this->previous_term = saved_term;
    if (settled) this->previous_voters.clear();
  }
  if (this->row_version == 0 && now >= this->next_term_retry) {
    this->needs_read = true;
  }
}

auto Election::StepDown() -> void {
  this->role = Role::kStandby;
  this->proposal.reset();
  this->leaderless_since = TimePoint();
  this->campaign_after_read = false;
  this->needs_read = true;
  this->next_attempt =
      this->clock.Now() + (this->rank + 1) * this->timing.heartbeat_interval;
}

auto Election::NeedsRead() const -> bool { return this->needs_read; }

auto Election::OnRead(const std::optional<TableRow>& row) -> void {
  this->needs_read = false;
  this->last_read_at = this->clock.Now();
  const bool campaign = this->campaign_after_read;
  this->campaign_after_read = false;
  if (!row.has_value()) {
    this->row_version = 0;
    this->next_term_retry = this->last_read_at + kTermRetryInterval;
    if (campaign && this->role == Role::kStandby) this->StartOfflineCampaign();
    return;
  }
  const auto stored =
      row->version == 0 ? TermRecord() : row->value.get<TermRecord>();
  if (this->role != Role::kStandby) {
    // Another placer committed a later term. It cannot become active while a
    // majority follows this placer, which then proposes the term after it.
    if (stored.holder != this->self && this->term.number < stored.number &&
        !this->IsActive()) {
      this->StepDown();
      this->record = stored;
      this->row_version = row->version;
      return;
    }
    this->row_version = row->version;
    this->next_term_retry = this->last_read_at + kTermRetryInterval;
    if (this->term.offline == 0 && this->term.number == stored.number) return;
    this->proposal = this->record;
    this->proposal->number = std::max(stored.number, this->term.number) + 1;
    this->proposal->holder = this->self;
    return;
  }
  this->record = stored;
  this->is_row_known = true;
  this->row_version = row->version;
  if (!campaign || !this->MayCampaign()) return;
  TermRecord next = stored;
  next.number = std::max(stored.number, this->HighestTerm().number) + 1;
  next.holder = this->self;
  if (next.voters.empty()) next.voters = this->ResponsiveGateways();
  this->proposal = next;
}

auto Election::NextVoters() const -> Voters {
  // At most one host is added or removed at a time, so that the majorities of
  // two successive voter sets overlap.
  Voters next;
  bool changed_hosts = false;
  for (const auto& voter : this->record.voters) {
    if (this->gateways.count(voter.host) == 0 && !changed_hosts) {
      changed_hosts = true;
      continue;
    }
    Voter kept = voter;
    const auto found = this->statuses.find(voter.host);
    if (found != this->statuses.end() && found->second.report.eligible) {
      kept.incarnation = found->second.report.incarnation;
    }
    next.push_back(kept);
  }
  if (changed_hosts) return next;
  for (const auto& voter : this->ResponsiveGateways()) {
    const bool is_known =
        std::any_of(next.begin(), next.end(),
                    [&](const Voter& v) { return v.host == voter.host; });
    if (is_known || !this->statuses.at(voter.host).report.eligible) continue;
    next.push_back(voter);
    break;
  }
  return next;
}

auto Election::NextCommit() -> std::optional<TableTransaction> {
  const bool may_change_voters =
      this->role == Role::kActive && this->term.offline == 0 &&
      this->row_version != 0 && this->previous_voters.empty() &&
      !this->gateways.empty();
  if (!this->proposal.has_value() && may_change_voters) {
    const auto next = this->NextVoters();
    const bool same = std::equal(
        next.begin(), next.end(), this->record.voters.begin(),
        this->record.voters.end(), [](const Voter& a, const Voter& b) {
          return a.host == b.host && a.incarnation == b.incarnation;
        });
    if (!same && !next.empty()) {
      this->proposal = this->record;
      this->proposal->number = this->term.number + 1;
      this->proposal->voters = next;
    }
  }
  if (!this->proposal.has_value()) return std::nullopt;
  TableTransaction transaction;
  transaction.operation_id = this->self.Value() + "/term/" +
                             std::to_string(ToMicros(this->clock.Now())) + "/" +
                             std::to_string(++this->operation);
  transaction.writes.push_back(
      {this->RowKey(), this->row_version, *this->proposal});
  return transaction;
}

auto Election::OnCommit(CommitOutcome outcome) -> void {
  if (!this->proposal.has_value()) {
    // The placer stepped down meanwhile, so the row has to be read again.
    this->needs_read = true;
    return;
  }
  const auto proposed = *this->proposal;
  this->proposal.reset();
  if (outcome == CommitOutcome::kConflict) {
    if (this->role == Role::kActive) this->row_version = 0;
    this->needs_read = true;
    this->next_term_retry = this->clock.Now();
    return;
  }
  if (outcome == CommitOutcome::kUnknown) {
    this->row_version = 0;
    this->needs_read = true;
    this->next_term_retry = this->clock.Now() + kTermRetryInterval;
    if (this->role == Role::kStandby) this->StartOfflineCampaign();
    return;
  }
  ++this->row_version;
  this->is_row_known = true;
  if (this->role == Role::kStandby) {
    this->record = proposed;
    this->StartCampaign({proposed.number, 0});
    return;
  }
  this->previous_voters = this->record.voters;
  this->record = proposed;
  this->previous_term = this->term;
  this->term = {proposed.number, 0};
}

auto Election::StartCampaign(Term term) -> void {
  this->role = Role::kCandidate;
  this->term = term;
  this->previous_term = term;
  this->previous_voters.clear();
  this->campaign_until = this->clock.Now() + kCampaignTimeout;
  this->campaign_leaderless_since = this->leaderless_since;
  this->campaign_after_read = false;
}

auto Election::StartOfflineCampaign() -> void {
  if (!this->is_row_known || this->record.voters.empty()) return;
  if (!this->MayCampaign()) return;
  const auto highest = this->HighestTerm();
  // The voters of a later committed term are not known here.
  if (this->record.number < highest.number) return;
  Term term{this->record.number, 1};
  if (highest.number == term.number) term.offline = highest.offline + 1;
  this->StartCampaign(term);
}

auto Election::FenceVersion() const -> std::uint64_t {
  return this->term.offline == 0 ? this->row_version : 0;
}

auto Election::TermDocument() const -> std::optional<Document> {
  if (!this->is_row_known) return std::nullopt;
  Document document;
  document.name = this->RowKey();
  document.stamp.term = {this->record.number, 0};
  document.body = this->record;
  return document;
}

}  // namespace currantbeam
