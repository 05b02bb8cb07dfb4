#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "ownership/document.h"
#include "ownership/driver_table.h"
#include "ownership/election.h"
#include "ownership/host_list.h"
#include "ownership/messages.h"
#include "ownership/placement_planner.h"
#include "ownership/segment.h"

namespace currantbeam {

/// The slots of one service that have their home in the placer's domain.
struct ServiceSlots {
  ServiceName service;
  std::vector<SlotIndex> slots;
};

/// What the placer needs to know of the configuration in force.
struct PlacerConfiguration {
  std::uint64_t version = 0;
  std::vector<ServiceSlots> services;
  std::set<std::string> leaving;  ///< Hosts and servers marked as leaving.
  std::set<std::string> lost;     ///< Hosts and servers marked as lost.
};

/// One request of the placer to the platform's table.
struct TableRequest {
  enum class Kind { kReadTerm, kReadSegments, kCommitTerm, kCommitSegments };
  Kind kind = Kind::kReadTerm;
  std::string prefix;
  TableTransaction transaction;
};

/// A decision that the placer took, for the log.
struct PlacementDecision {
  ServiceName service;
  SlotIndex slot = 0;
  ServerId from;
  ServerId to;
  Epoch epoch = 0;
  std::string reason;
};

/// Places the slots of one failure domain: keeps the assignment, orders
/// gateways to drive servers, and moves slots without ever giving a slot two
/// owners. Holds no sockets: a program feeds it reports and table answers and
/// sends what it hands out.
class Placer {
 public:
  Placer(const HostId& self, const FailureDomain& domain, std::uint64_t session,
         const LeaseTiming& timing, const Clock& clock);

  auto SetHosts(const HostList& hosts) -> void;
  auto SetConfiguration(const PlacerConfiguration& configuration) -> void;
  auto OnReport(const Report& report) -> void;
  /// Takes a document that another domain's placer or a gateway published.
  auto OnDocument(const Document& document) -> void;
  /// Publishes a document that does not come from this class.
  auto Publish(const Document& document) -> void;
  auto Tick() -> void;

  /// @return beats to send now: all that are due, or all if something changed.
  auto TakeBeats() -> std::vector<std::pair<HostId, Beat>>;
  /// @return the next request to the table; none while one is unanswered.
  auto TakeTableRequest() -> std::optional<TableRequest>;
  /// @param rows  what was read; nothing if the table was out of reach.
  auto OnTableRead(const TableRequest& request,
                   const std::optional<std::vector<TableRow>>& rows) -> void;
  auto OnTableCommit(const TableRequest& request, CommitOutcome outcome)
      -> void;
  auto TakeDecisions() -> std::vector<PlacementDecision>;
  auto TakeDriveDecisions() -> std::vector<DriverTable::Decision> {
    return this->drives.TakeDecisions();
  }

  [[nodiscard]] auto GetElection() const -> const Election& {
    return this->election;
  }
  [[nodiscard]] auto Documents() const -> const DocumentSet& {
    return this->documents;
  }
  [[nodiscard]] auto Drives() const -> const DriverTable& {
    return this->drives;
  }
  /// @return the configuration version that each gateway of the domain that
  /// may serve has in force.
  [[nodiscard]] auto ConfigVersionInForce() const -> std::uint64_t;
  /// @return true if this placer is active and knows the whole assignment.
  [[nodiscard]] auto IsReady() const -> bool;

 private:
  struct Move {
    ServerId to;
    std::uint64_t cursor = 0;  ///< Released once the driver is aligned to it.
    std::string reason;
  };
  struct SegmentState {
    Segment segment;
    std::uint64_t row_version = 0;
    std::map<SlotIndex, Move> moves;
    std::map<SlotIndex, std::string> freed;  ///< Free to go, with the reason.
    bool dirty = false;   ///< The row lacks something of `segment`.
    bool changed = true;  ///< The document lacks something of `segment`.
    std::map<SlotIndex, double> loads;
  };
  struct GatewayState {
    std::uint64_t incarnation = 0;
    std::int64_t clock = 0;
    std::uint64_t cursor = 0;
    std::uint64_t config_version = 0;
    TimePoint last_report;
    TimePoint first_expected;
    std::int64_t asked_at = 0;  ///< Clock of the first beat that asked.
    bool gave_documents = false;
  };
  struct Pending {
    TableRequest request;
    std::map<std::string, Segment> proposals;
    bool unknown = false;
  };

  [[nodiscard]] auto IsUsable(const ServerId& server) const -> bool;
  [[nodiscard]] auto IsKnown(const ServerId& server) const -> bool;
  [[nodiscard]] auto MakePlanner(const SegmentState& state) const
      -> PlacementPlanner;
  [[nodiscard]] auto IsFree(const SegmentState& state, SlotIndex index) const
      -> bool;
  auto OnBecameActive() -> void;
  auto OnLostActivity() -> void;
  auto FinishLoading() -> void;
  auto MergeSegment(const Segment& other, std::uint64_t row_version) -> void;
  auto CreateMissingSegments() -> void;
  auto Plan(SegmentState& state) -> void;
  auto ActivateSuccessors(SegmentState& state) -> void;
  auto StartMoves(SegmentState& state, PlacementPlanner& planner) -> void;
  auto StartMove(SegmentState& state, SlotIndex index, const ServerId& to,
                 const std::string& reason) -> void;
  auto CollectFreed(SegmentState& state) -> void;
  auto KeepReturned(SegmentState& state) -> void;
  auto Propose(SegmentState& state) -> std::optional<Segment>;
  auto MakeCommit() -> std::optional<TableRequest>;
  auto ApplyCommitted(const std::string& name, const Segment& proposal) -> void;
  auto PublishChanges() -> void;
  auto PublishDrivers() -> void;
  auto PublishDocument(const std::string& name, const nlohmann::json& body)
      -> void;
  [[nodiscard]] auto MakeBeat(const HostId& gateway) -> Beat;
  [[nodiscard]] auto PendingChanges(const std::string& name, SlotIndex index,
                                    const SlotAssignment& now) const -> bool;

  HostId self;
  FailureDomain domain;
  std::uint64_t session;
  LeaseTiming timing;
  const Clock& clock;
  Election election;
  DriverTable drives;
  DocumentSet documents;
  HostList hosts;
  PlacerConfiguration configuration;
  std::map<ServerId, BackendServer> servers;  ///< Of this domain, not lost.
  std::set<HostId> gateway_hosts;
  std::map<HostId, GatewayState> gateways;

  bool active = false;
  bool loaded = false;
  bool reload = false;  ///< Another writer was seen: read the rows again.
  std::uint64_t sequence = 0;
  std::map<std::string, SegmentState> segments;
  bool drivers_changed = false;
  bool proposals_due = false;  ///< Plans were made since the last proposal.
  bool plan_now = true;        ///< Something that plans depend on has changed.
  TimePoint next_plan;
  nlohmann::json published_drivers;
  std::optional<Pending> pending;
  bool request_out = false;
  TimePoint next_retry;
  TimePoint next_beat;
  TimePoint next_rebalance;
  bool beat_now = false;
  std::uint64_t operation = 0;
  std::vector<PlacementDecision> decisions;
};

}  // namespace currantbeam
