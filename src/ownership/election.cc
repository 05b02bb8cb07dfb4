#include "ownership/election.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// How long a campaign waits for the platform before it goes on without.
constexpr auto kReadPatience = std::chrono::milliseconds(80);
constexpr auto kCampaignLimit = std::chrono::milliseconds(600);
constexpr auto kStandbyRead = std::chrono::milliseconds(1000);
constexpr auto kFirstElectionWait = std::chrono::milliseconds(1500);
constexpr auto kRankStagger = std::chrono::milliseconds(100);
constexpr auto kUpgradeInterval = std::chrono::milliseconds(500);
constexpr int kFreshBeats = 3;

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
  auto& seen = this->seen[report.gateway];
  if (seen.report.incarnation == report.incarnation &&
      report.clock < seen.report.clock) {
    return;  // Overtaken by a newer report.
  }
  const auto now = this->clock.Now();
  const bool follows_other =
      !report.bound_to.IsEmpty() && report.bound_to != this->self;
  if (follows_other || now - seen.received >= this->timing.leader_lease) {
    this->not_vacant_at = now;
  }
  seen.report = report;
  seen.report.documents.clear();
  seen.received = now;
  seen.echoed = FromMicros(report.echo);
}

auto Election::OnRecordDocument(const Document& document) -> void {
  const auto learned = document.body.get<TermRecord>();
  if (this->is_row_known && learned.number <= this->record.number) return;
  this->record = learned;
  this->is_row_known = true;
  this->row_version = 0;
}

auto Election::HasMajority(const Voters& voters, int count) const -> bool {
  return 2 * count > static_cast<int>(voters.size());
}

auto Election::CountsAsVoter(const Voter& voter, const Seen& seen) const
    -> bool {
  // A deputy relies on what voters remember, so a restarted one won't do.
  if (this->term.offline == 0) return true;
  return seen.report.incarnation == voter.incarnation;
}

auto Election::FollowedUntil(const Voters& voters) const -> TimePoint {
  std::vector<TimePoint> echoes;
  for (const auto& voter : voters) {
    const auto found = this->seen.find(voter.host);
    if (found == this->seen.end()) continue;
    const auto& report = found->second.report;
    if (report.bound_to != this->self) continue;
    if (report.bound_term != this->term &&
        report.bound_term != this->previous_term) {
      continue;
    }
    if (!this->CountsAsVoter(voter, found->second)) continue;
    echoes.push_back(found->second.echoed);
  }
  if (voters.empty() ||
      !this->HasMajority(voters, static_cast<int>(echoes.size()))) {
    return TimePoint();
  }
  std::sort(echoes.rbegin(), echoes.rend());
  return echoes[voters.size() / 2] + this->timing.leader_lease;
}

auto Election::ActiveUntil() const -> TimePoint {
  const auto until = this->FollowedUntil(this->record.voters);
  if (this->old_voters.empty()) return until;
  return std::min(until, this->FollowedUntil(this->old_voters));
}

auto Election::IsActive() const -> bool {
  return this->role == Role::kActive && this->clock.Now() < this->ActiveUntil();
}

auto Election::HighestTerm() const -> Term {
  Term highest;
  for (const auto& [host, seen] : this->seen) {
    highest = std::max(highest, seen.report.highest_term);
  }
  return highest;
}

auto Election::HeardGateways() const -> Voters {
  Voters heard;
  const auto now = this->clock.Now();
  for (const auto& host : this->gateways) {
    const auto found = this->seen.find(host);
    if (found == this->seen.end()) continue;
    if (now - found->second.received >
        kFreshBeats * this->timing.heartbeat_interval) {
      continue;
    }
    heard.push_back({host, found->second.report.incarnation});
  }
  return heard;
}

auto Election::MayCampaign() const -> bool {
  const auto now = this->clock.Now();
  const auto is_free = [&](const HostId& host) {
    const auto found = this->seen.find(host);
    if (found == this->seen.end()) return false;
    const auto& report = found->second.report;
    if (now - found->second.received >
        kFreshBeats * this->timing.heartbeat_interval) {
      return false;
    }
    if (!report.eligible) return false;
    return report.bound_to.IsEmpty() || report.bound_to == this->self;
  };
  if (!this->is_row_known || this->record.voters.empty()) {
    const auto heard = this->HeardGateways();
    if (heard.empty()) return false;
    for (const auto& voter : heard) {
      if (!is_free(voter.host)) return false;
    }
    return heard.size() == this->gateways.size() ||
           now - this->started_at >= kFirstElectionWait;
  }
  int free = 0;
  for (const auto& voter : this->record.voters) {
    if (is_free(voter.host)) ++free;
  }
  return this->HasMajority(this->record.voters, free);
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
        this->StandDown();
      }
      return;
    case Role::kActive:
      this->TickActive();
      return;
  }
}

auto Election::TickStandby() -> void {
  const auto now = this->clock.Now();
  if (this->proposal.has_value()) return;  // A commit is under way.
  if (now - this->read_at >= kStandbyRead) this->wants_read = true;
  if (!this->MayCampaign()) {
    this->vacant_since = TimePoint();
    return;
  }
  if (this->vacant_since == TimePoint()) this->vacant_since = now;
  if (now < this->vacant_since + this->rank * kRankStagger) return;
  if (now < this->next_attempt) return;
  if (this->campaign_after_read) {
    // The platform does not answer; the gateways' own majority has to do.
    if (now >= this->read_patience_until) this->StartDeputyCampaign();
    return;
  }
  this->wants_read = true;
  this->campaign_after_read = true;
  this->read_patience_until = now + kReadPatience;
}

auto Election::TickActive() -> void {
  const auto now = this->clock.Now();
  if (now >= this->ActiveUntil()) {
    this->StandDown();
    return;
  }
  if (!this->old_voters.empty()) {
    // The new voters are settled once majorities of both follow this term.
    const auto saved = this->previous_term;
    this->previous_term = this->term;
    const bool settled = now < this->ActiveUntil();
    this->previous_term = saved;
    if (settled) this->old_voters.clear();
  }
  if (this->row_version == 0 && now >= this->next_upgrade) {
    this->wants_read = true;
  }
}

auto Election::StandDown() -> void {
  this->role = Role::kStandby;
  this->proposal.reset();
  this->vacant_since = TimePoint();
  this->campaign_after_read = false;
  this->wants_read = true;
  this->next_attempt =
      this->clock.Now() + (this->rank + 1) * this->timing.heartbeat_interval;
}

auto Election::WantsRead() const -> bool { return this->wants_read; }

auto Election::OnRead(const std::optional<TableRow>& row) -> void {
  this->wants_read = false;
  this->read_at = this->clock.Now();
  const bool campaign = this->campaign_after_read;
  this->campaign_after_read = false;
  if (!row.has_value()) {
    this->row_version = 0;
    this->next_upgrade = this->read_at + kUpgradeInterval;
    if (campaign && this->role == Role::kStandby) this->StartDeputyCampaign();
    return;
  }
  const auto stored =
      row->version == 0 ? TermRecord() : row->value.get<TermRecord>();
  if (this->role != Role::kStandby) {
    // Another placer committed a later term. It cannot become active while a
    // majority follows this one, which then takes the next term.
    if (stored.holder != this->self && this->term.number < stored.number &&
        !this->IsActive()) {
      this->StandDown();
      this->record = stored;
      this->row_version = row->version;
      return;
    }
    this->row_version = row->version;
    this->next_upgrade = this->read_at + kUpgradeInterval;
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
  if (next.voters.empty()) next.voters = this->HeardGateways();
  this->proposal = next;
}

auto Election::NextVoters() const -> Voters {
  // One host joins or goes at a time, so that majorities keep overlapping.
  Voters next;
  bool changed_hosts = false;
  for (const auto& voter : this->record.voters) {
    if (this->gateways.count(voter.host) == 0 && !changed_hosts) {
      changed_hosts = true;
      continue;
    }
    Voter kept = voter;
    const auto found = this->seen.find(voter.host);
    if (found != this->seen.end() && found->second.report.eligible) {
      kept.incarnation = found->second.report.incarnation;
    }
    next.push_back(kept);
  }
  if (changed_hosts) return next;
  for (const auto& voter : this->HeardGateways()) {
    const bool is_known =
        std::any_of(next.begin(), next.end(),
                    [&](const Voter& v) { return v.host == voter.host; });
    if (is_known || !this->seen.at(voter.host).report.eligible) continue;
    next.push_back(voter);
    break;
  }
  return next;
}

auto Election::WantedCommit() -> std::optional<TableTransaction> {
  const bool may_change_voters =
      this->role == Role::kActive && this->term.offline == 0 &&
      this->row_version != 0 && this->old_voters.empty() &&
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
    // Stood down meanwhile: what the row holds has to be read again.
    this->wants_read = true;
    return;
  }
  const auto proposed = *this->proposal;
  this->proposal.reset();
  if (outcome == CommitOutcome::kConflict) {
    if (this->role == Role::kActive) this->row_version = 0;
    this->wants_read = true;
    this->next_upgrade = this->clock.Now();
    return;
  }
  if (outcome == CommitOutcome::kUnknown) {
    this->row_version = 0;
    this->wants_read = true;
    this->next_upgrade = this->clock.Now() + kUpgradeInterval;
    if (this->role == Role::kStandby) this->StartDeputyCampaign();
    return;
  }
  ++this->row_version;
  this->is_row_known = true;
  if (this->role == Role::kStandby) {
    this->record = proposed;
    this->StartCampaign({proposed.number, 0});
    return;
  }
  this->old_voters = this->record.voters;
  this->record = proposed;
  this->previous_term = this->term;
  this->term = {proposed.number, 0};
}

auto Election::StartCampaign(Term term) -> void {
  this->role = Role::kCandidate;
  this->term = term;
  this->previous_term = term;
  this->old_voters.clear();
  this->campaign_until = this->clock.Now() + kCampaignLimit;
  this->campaign_vacant_since = this->vacant_since;
  this->campaign_after_read = false;
}

auto Election::StartDeputyCampaign() -> void {
  if (!this->is_row_known || this->record.voters.empty()) return;
  if (!this->MayCampaign()) return;
  const auto highest = this->HighestTerm();
  if (this->record.number < highest.number) return;  // Voters may differ.
  Term term{this->record.number, 1};
  if (highest.number == term.number) term.offline = highest.offline + 1;
  this->StartCampaign(term);
}

auto Election::FenceVersion() const -> std::uint64_t {
  return this->term.offline == 0 ? this->row_version : 0;
}

auto Election::RecordDocument() const -> std::optional<Document> {
  if (!this->is_row_known) return std::nullopt;
  Document document;
  document.name = this->RowKey();
  document.stamp.term = {this->record.number, 0};
  document.body = this->record;
  return document;
}

}  // namespace currantbeam
