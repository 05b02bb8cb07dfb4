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

/// A gateway that counts towards the majority an active placer needs.
struct Voter {
  HostId host;
  std::uint64_t incarnation = 0;
};

/// The row of the platform's table that names a failure domain's active placer.
struct TermRecord {
  std::uint32_t number = 0;
  HostId holder;
  std::vector<Voter> voters;
};

auto to_json(nlohmann::json& json, const TermRecord& record) -> void;
auto from_json(const nlohmann::json& json, TermRecord& record) -> void;

/// Elects the active placer of a failure domain; each placer has one. A placer
/// is active while a majority of the domain's gateways follows it (see
/// PlacerFollower) within the leader lease. Its term is committed to the
/// platform's table. If the platform is unreachable, the placer uses an offline
/// term instead, which follows the last committed one. Does no I/O.
class Election {
 public:
  enum class Role { kStandby, kCandidate, kActive };

  Election(HostId self, FailureDomain domain, const LeaseTiming& timing,
           const Clock& clock);

  /// @param gateways  the domain's gateways that are not leaving.
  /// @param rank      this placer's index among the domain's placers; a higher
  /// rank delays its campaigns, so that placers don't compete.
  auto SetGateways(std::set<HostId> gateways, int rank) -> void;
  auto OnReport(const Report& report) -> void;
  /// Applies a term record that came from a gateway, not from the table.
  auto OnTermDocument(const Document& document) -> void;
  auto Tick() -> void;

  /// @return the next transaction on the term record to commit, or nullopt.
  auto NextCommit() -> std::optional<TableTransaction>;
  /// @return true if the term record has to be read from the table.
  [[nodiscard]] auto NeedsRead() const -> bool;
  /// @param row  the term record's row, with version 0 if it doesn't exist;
  /// nullopt if the table was unreachable.
  auto OnRead(const std::optional<TableRow>& row) -> void;
  auto OnCommit(CommitOutcome outcome) -> void;
  /// Called when a write that was fenced by the term record was rejected.
  auto OnWriteRejected() -> void { this->needs_read = true; }

  [[nodiscard]] auto IsActive() const -> bool;
  [[nodiscard]] auto IsLeading() const -> bool {
    return this->role != Role::kStandby;
  }
  [[nodiscard]] auto GetRole() const -> Role { return this->role; }
  [[nodiscard]] auto GetTerm() const -> Term { return this->term; }
  /// @return a time since which no other placer can have been active: a
  /// majority reported that it followed none, without a gap of a leader lease
  /// in the reports.
  [[nodiscard]] auto LeaderlessSince() const -> TimePoint {
    return std::max(this->campaign_leaderless_since, this->last_leader_at);
  }
  /// @return the version of the term record that fences this placer's writes
  /// to the table; 0 in an offline term, when it may not write.
  [[nodiscard]] auto FenceVersion() const -> std::uint64_t;
  /// @return the key of the term record's row.
  [[nodiscard]] auto RowKey() const -> std::string;
  /// @return the term record to publish to the gateways, or nullopt if it is
  /// unknown.
  [[nodiscard]] auto TermDocument() const -> std::optional<Document>;

 private:
  struct GatewayStatus {
    Report report;
    TimePoint received_at;
    /// When this placer sent the heartbeat that the report answers.
    TimePoint heartbeat_sent_at;
  };
  using Voters = std::vector<Voter>;

  [[nodiscard]] auto HasMajority(const Voters& voters, int count) const -> bool;
  /// @return until when a majority of the voters follows this placer; the
  /// epoch of the clock if no majority does.
  [[nodiscard]] auto FollowedUntil(const Voters& voters) const -> TimePoint;
  [[nodiscard]] auto ActiveUntil() const -> TimePoint;
  [[nodiscard]] auto MayCampaign() const -> bool;
  [[nodiscard]] auto CountsAsFollower(const Voter& voter,
                                      const GatewayStatus& status) const
      -> bool;
  [[nodiscard]] auto HighestTerm() const -> Term;
  /// @return the gateways that reported within the last heartbeat intervals.
  [[nodiscard]] auto ResponsiveGateways() const -> Voters;
  /// @return the voters for the next term; the present ones if the domain's
  /// gateways have not changed.
  [[nodiscard]] auto NextVoters() const -> Voters;
  auto StartCampaign(Term term) -> void;
  auto StartOfflineCampaign() -> void;
  auto StepDown() -> void;
  auto TickStandby() -> void;
  auto TickActive() -> void;

  HostId self;
  FailureDomain domain;
  LeaseTiming timing;
  const Clock& clock;
  TimePoint started_at;
  std::set<HostId> gateways;
  int rank = 0;
  std::map<HostId, GatewayStatus> statuses;

  Role role = Role::kStandby;
  Term term;
  Term previous_term;
  TimePoint campaign_until;
  TimePoint leaderless_since;
  TimePoint campaign_leaderless_since;
  TimePoint last_leader_at;
  TimePoint read_deadline;
  TimePoint next_attempt;

  bool needs_read = true;
  bool campaign_after_read = false;
  TimePoint last_read_at;
  bool is_row_known = false;
  std::uint64_t row_version = 0;
  TermRecord record;
  /// During a change of voters: a majority of these is needed as well.
  Voters previous_voters;
  std::optional<TermRecord> proposal;
  std::uint64_t operation = 0;
  TimePoint next_term_retry;
};

}  // namespace currantbeam
