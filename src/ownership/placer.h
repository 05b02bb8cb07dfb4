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

/// The slots of one service whose home is the placer's failure domain.
struct ServiceSlots {
  ServiceName service;
  std::vector<SlotIndex> slots;
};

/// The part of the active configuration that the placer uses.
struct PlacerConfiguration {
  std::uint64_t version = 0;
  std::vector<ServiceSlots> services;
  std::set<std::string> leaving;  ///< Hosts and servers marked as leaving.
  std::set<std::string> lost;     ///< Hosts and servers marked as lost.
};

/// A read or a transaction that the placer sends to the platform's table.
struct TableRequest {
  enum class Kind { kReadTerm, kReadSegments, kCommitTerm, kCommitSegments };
  Kind kind = Kind::kReadTerm;
  std::string prefix;
  TableTransaction transaction;
};

/// A committed or activated change of a slot's owner, for the log.
struct PlacementDecision {
  ServiceName service;
  SlotIndex slot = 0;
  ServerId from;
  ServerId to;
  Epoch epoch = 0;
  std::string reason;
};

/// Assigns the slots of one failure domain to backend servers and the servers
/// to drivers (see DriverTable), and moves slots such that a slot never has two
/// owners. Acts only while its Election makes it the active placer. Does no
/// I/O: the caller passes in reports and results from the table, and sends the
/// heartbeats and table requests that the placer returns.
class Placer {
 public:
  Placer(const HostId& self, const FailureDomain& domain, std::uint64_t session,
         const LeaseTiming& timing, const Clock& clock);

  auto SetHosts(const HostList& hosts) -> void;
  auto SetConfiguration(const PlacerConfiguration& configuration) -> void;
  auto OnReport(const Report& report) -> void;
  /// Applies a document that another domain's placer or a gateway published.
  auto OnDocument(const Document& document) -> void;
  /// Publishes a document that the caller made to the gateways.
  auto Publish(const Document& document) -> void;
  auto Tick() -> void;

  /// @return a heartbeat for each gateway if the heartbeat interval has passed
  /// or something changed, else none.
  auto TakeHeartbeats() -> std::vector<std::pair<HostId, Heartbeat>>;
  /// @return the next request to the table, or nullopt if there is none or one
  /// is outstanding.
  auto TakeTableRequest() -> std::optional<TableRequest>;
  /// @param rows  the rows that were read; nullopt if the table was
  /// unreachable.
  auto OnTableRead(const TableRequest& request,
                   const std::optional<std::vector<TableRow>>& rows) -> void;
  auto OnTableCommit(const TableRequest& request, CommitOutcome outcome)
      -> void;
  auto TakeDecisions() -> std::vector<PlacementDecision>;
  auto TakeDriverDecisions() -> std::vector<DriverTable::Decision> {
    return this->drivers.TakeDecisions();
  }

  [[nodiscard]] auto GetElection() const -> const Election& {
    return this->election;
  }
  [[nodiscard]] auto Documents() const -> const DocumentSet& {
    return this->documents;
  }
  [[nodiscard]] auto Drivers() const -> const DriverTable& {
    return this->drivers;
  }
  /// @return the lowest configuration version among the domain's gateways that
  /// may still be serving; 0 if it is unknown.
  [[nodiscard]] auto ConfigVersionInForce() const -> std::uint64_t;
  /// @return true if this placer is active and has loaded all segments.
  [[nodiscard]] auto IsReady() const -> bool;

 private:
  struct Move {
    ServerId to;
    /// The cursor at which the move was published; 0 before. The slot can be
    /// reassigned once the owner's driver has confirmed this cursor.
    std::uint64_t cursor = 0;
    std::string reason;
  };
  struct SegmentState {
    Segment segment;
    std::uint64_t row_version = 0;
    std::map<SlotIndex, Move> moves;
    /// Slots whose owner holds no grant any more, with the reason of the
    /// change.
    std::map<SlotIndex, std::string> freed;
    bool dirty = false;   ///< `segment` has changes that the row lacks.
    bool changed = true;  ///< `segment` has unpublished changes.
    std::map<SlotIndex, double> loads;
  };
  struct GatewayState {
    std::uint64_t incarnation = 0;
    std::int64_t clock = 0;
    std::uint64_t cursor = 0;
    std::uint64_t config_version = 0;
    TimePoint last_report;
    TimePoint added_at;
    /// Clock of the first heartbeat that requested documents; 0 if none did.
    std::int64_t documents_requested_at = 0;
    bool documents_received = false;
  };
  struct PendingCommit {
    TableRequest request;
    std::map<std::string, Segment> proposals;
    bool unknown = false;
  };

  [[nodiscard]] auto IsUsable(const ServerId& server) const -> bool;
  [[nodiscard]] auto IsKnown(const ServerId& server) const -> bool;
  [[nodiscard]] auto MakePlanner(const SegmentState& state) const
      -> PlacementPlanner;
  /// @return true if the slot can be assigned to another owner, because its
  /// owner holds no grant for it any more or it has no owner.
  [[nodiscard]] auto IsFree(const SegmentState& state, SlotIndex index) const
      -> bool;
  auto OnBecameActive() -> void;
  auto OnBecameInactive() -> void;
  auto FinishLoading() -> void;
  auto MergeSegment(const Segment& other, std::uint64_t row_version) -> void;
  auto CreateMissingSegments() -> void;
  auto Plan(SegmentState& state) -> void;
  auto ActivateSuccessors(SegmentState& state) -> void;
  auto StartMoves(SegmentState& state, PlacementPlanner& planner) -> void;
  auto StartMove(SegmentState& state, SlotIndex index, const ServerId& to,
                 const std::string& reason) -> void;
  auto CollectFreed(SegmentState& state) -> void;
  auto KeepRecovered(SegmentState& state) -> void;
  auto Propose(SegmentState& state) -> std::optional<Segment>;
  auto MakeCommit() -> std::optional<TableRequest>;
  auto ApplyCommitted(const std::string& name, const Segment& proposal) -> void;
  auto PublishChanges() -> void;
  auto PublishDrivers() -> void;
  auto PublishDocument(const std::string& name, const nlohmann::json& body)
      -> void;
  [[nodiscard]] auto MakeHeartbeat(const HostId& gateway) -> Heartbeat;
  [[nodiscard]] auto IsChangedByPending(const std::string& name,
                                        SlotIndex index,
                                        const SlotAssignment& now) const
      -> bool;

  HostId self;
  FailureDomain domain;
  std::uint64_t session;
  LeaseTiming timing;
  const Clock& clock;
  Election election;
  DriverTable drivers;
  DocumentSet documents;
  HostList hosts;
  PlacerConfiguration configuration;
  std::map<ServerId, BackendServer> servers;  ///< Of this domain, not lost.
  std::set<HostId> gateway_hosts;
  std::map<HostId, GatewayState> gateways;

  bool active = false;
  bool loaded = false;
  bool reload = false;  ///< Another placer wrote a row: read all again.
  std::uint64_t sequence = 0;
  std::map<std::string, SegmentState> segments;
  bool drivers_changed = false;
  bool proposals_due = false;  ///< Plans were made since the last proposal.
  bool plan_now = true;        ///< The input of the plans has changed.
  TimePoint next_plan;
  nlohmann::json published_drivers;
  std::optional<PendingCommit> pending;
  bool request_outstanding = false;
  TimePoint next_retry;
  TimePoint next_heartbeat;
  TimePoint next_rebalance;
  bool heartbeat_now = false;
  std::uint64_t operation = 0;
  std::vector<PlacementDecision> decisions;
};

}  // namespace currantbeam
