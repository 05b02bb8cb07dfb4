#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "ownership/messages.h"

namespace currantbeam {

/// A gateway whose following counts towards a majority.
struct Voter {
  HostId host;
  std::uint64_t incarnation = 0;
};

/// The committed record of who places keys in a failure domain.
struct TermRecord {
  std::uint32_t number = 0;
  HostId holder;
  std::vector<Voter> voters;
};

auto to_json(nlohmann::json& json, const TermRecord& record) -> void;
auto from_json(const nlohmann::json& json, TermRecord& record) -> void;

/// The placer's side of the placer lease. A placer is active while a majority
/// of the domain's gateways follows it within the leader lease; the term that
/// it acts under is committed to the platform's table, or, with the platform
/// out of reach, succeeds the last committed one as a deputy term.
class Election {
 public:
  enum class Role { kStandby, kCandidate, kActive };

  Election(HostId self, FailureDomain domain, const LeaseTiming& timing,
           const Clock& clock);

  /// @param gateways  the domain's gateways, from the platform's host list.
  /// @param rank      this placer's place among the domain's placers.
  auto SetGateways(std::set<HostId> gateways, int rank) -> void;
  auto OnReport(const Report& report) -> void;
  /// Takes a term record learned from a gateway rather than from the table.
  auto OnRecordDocument(const Document& document) -> void;
  auto Tick() -> void;

  /// @return the transaction that this election wants committed, if any.
  auto WantedCommit() -> std::optional<TableTransaction>;
  /// @return true if the term record has to be read from the table.
  [[nodiscard]] auto WantsRead() const -> bool;
  /// @param row  the row as read; nothing if the table could not be reached.
  auto OnRead(const std::optional<TableRow>& row) -> void;
  auto OnCommit(CommitOutcome outcome) -> void;
  /// Notes that a write fenced by the term record was refused.
  auto OnFenced() -> void { this->wants_read = true; }

  [[nodiscard]] auto IsActive() const -> bool;
  [[nodiscard]] auto IsLeading() const -> bool {
    return this->role != Role::kStandby;
  }
  [[nodiscard]] auto GetRole() const -> Role { return this->role; }
  [[nodiscard]] auto GetTerm() const -> Term { return this->term; }
  /// @return a time since when no other placer can have been active: a
  /// majority was seen to follow none, without a gap in which one could have.
  [[nodiscard]] auto VacantSince() const -> TimePoint {
    return std::max(this->campaign_vacant_since, this->not_vacant_at);
  }
  /// @return the version that fences this placer's writes; 0 for a deputy.
  [[nodiscard]] auto FenceVersion() const -> std::uint64_t;
  [[nodiscard]] auto RowKey() const -> std::string;
  [[nodiscard]] auto RecordDocument() const -> std::optional<Document>;

 private:
  struct Seen {
    Report report;
    TimePoint received;
    TimePoint echoed;  ///< When the beat was sent that the report answers.
  };
  using Voters = std::vector<Voter>;

  [[nodiscard]] auto HasMajority(const Voters& voters, int count) const -> bool;
  [[nodiscard]] auto FollowedUntil(const Voters& voters) const -> TimePoint;
  [[nodiscard]] auto ActiveUntil() const -> TimePoint;
  [[nodiscard]] auto MayCampaign() const -> bool;
  [[nodiscard]] auto CountsAsVoter(const Voter& voter, const Seen& seen) const
      -> bool;
  [[nodiscard]] auto HighestTerm() const -> Term;
  [[nodiscard]] auto HeardGateways() const -> Voters;
  [[nodiscard]] auto NextVoters() const -> Voters;
  auto StartCampaign(Term term) -> void;
  auto StartDeputyCampaign() -> void;
  auto StandDown() -> void;
  auto TickStandby() -> void;
  auto TickActive() -> void;

  HostId self;
  FailureDomain domain;
  LeaseTiming timing;
  const Clock& clock;
  TimePoint started_at;
  std::set<HostId> gateways;
  int rank = 0;
  std::map<HostId, Seen> seen;

  Role role = Role::kStandby;
  Term term;
  Term previous_term;
  TimePoint campaign_until;
  TimePoint vacant_since;
  TimePoint campaign_vacant_since;
  TimePoint not_vacant_at;
  TimePoint read_patience_until;
  TimePoint next_attempt;

  bool wants_read = true;
  bool campaign_after_read = false;
  TimePoint read_at;
  bool is_row_known = false;
  std::uint64_t row_version = 0;
  TermRecord record;
  Voters old_voters;  ///< Still needed for a majority until settled.
  std::optional<TermRecord> proposal;
  std::uint64_t operation = 0;
  TimePoint next_upgrade;
};

}  // namespace currantbeam
