#pragma once

#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "backends/backends.h"
#include "keys/coordinator_lease.h"
#include "keys/load_report_reply.h"
#include "keys/service_coordinator.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Assigns the keys of all keyed services to backend servers while this process
/// holds the CoordinatorLease; on all other hosts it stands by. Has one
/// ServiceCoordinator for each service. Changes of owners are committed to the
/// store before the grants that depend on them are sent. Logs and the store
/// call this role "keeper". Runs on one fiber loop; call all methods there.
class KeyCoordinator {
 public:
  struct Options {
    CoordinatorLease::Options lease;
    GrantTiming grant_timing;
  };

  /// Called with each change of owners after its commit.
  using OnChange = std::function<void(const OwnerUpdate&)>;

  KeyCoordinator(StoreClient& store, GrantClient& grant_client,
                 const Clock& clock, const BackendDirectory& directory,
                 const Options& options, OnChange on_change);

  /// Starts the coordinator's fibers on the calling loop.
  auto Start() -> void;
  /// Stops permanently and releases the lease, so that another host acquires
  /// it.
  auto Stop() -> void;
  /// @return the versions of the owner maps that grants are based on, by
  ///   service.
  [[nodiscard]] auto Versions() -> OwnerVersions;
  /// @param known  the versions that another host has, by service.
  /// @return the stored owner maps that are newer than these.
  [[nodiscard]] auto OwnersSince(const OwnerVersions& known) const
      -> TableUpdate;
  /// Adds the report's load to the services that it names.
  auto OnReport(const LoadReport& report) -> void;
  /// @return the ADDRESS:PORT of the host that last held the lease, to which
  ///   reports are sent; empty if unknown.
  [[nodiscard]] auto ReportEndpoint() const -> std::string {
    return this->lease.HolderEndpoint();
  }
  [[nodiscard]] auto IsActive() const -> bool { return this->lease.IsHeld(); }
  /// Call after a report of this host was sent. While the active coordinator
  /// accepts reports, this one doesn't read the lease from the store.
  /// @param is_accepted  whether the coordinator accepted the report.
  auto OnCoordinatorContact(bool is_accepted) -> void;
  /// @param keyed  all keyed services; others are no longer granted.
  auto SetServices(const std::set<ServiceName>& keyed) -> void;

 private:
  struct Service {
    ServiceCoordinator coordinator;
    bool is_keyed = true;  ///< In the newest configuration.
  };
  /// An owner whose last calls have all failed.
  struct FailingOwner {
    KeyOwner owner;
    TimePoint first_failure_at{};
    TimePoint last_failure_at{};
    int failures = 0;
  };
  /// Calls to one server address. They start in order, a few at a time.
  struct CallQueue {
    struct Call {
      ServiceCoordinator* service = nullptr;
      KeyCommand command;
    };
    std::deque<Call> calls;
    int fibers = 0;
    int grants_in_flight = 0;
    TimePoint paused_until{};
    std::vector<FailingOwner> failing;
    bool is_probing = false;
    /// The last owner with this address that was found to have ended, which is
    /// not called until then.
    KeyOwner replaced;
    TimePoint replaced_until{};
    /// The latest start in the entries that ended a pause.
    std::chrono::milliseconds resumed_for{0};
  };

  auto RunLease() -> void;
  auto StepLease() -> Duration;
  auto RunCommands() -> void;
  /// Loads and commits owner maps. Runs in a fiber of its own, so that calls to
  /// servers continue while the store does not respond.
  auto RunCommits() -> void;
  auto SendCommands(ServiceCoordinator& service) -> void;
  auto Commit(ServiceCoordinator& service) -> void;
  /// Ends the pause of calls to the address of an unreachable owner once the
  /// entry of a later process names it, as that process would respond.
  auto ResumeCallsToReusedAddresses(const GrantScheduler& scheduler) -> void;
  /// Calls the service's ready servers that are unreachable and hold no stripe,
  /// so that they become eligible again once they respond.
  auto ProbeUnreachableServers(ServiceCoordinator& service) -> void;
  /// Asks a server that holds no stripe to release one.
  auto Probe(CallQueue& queue, const KeyOwner& owner, GrantScheduler& scheduler)
      -> void;
  /// @return the service's ready servers that respond, weighted by their slots.
  [[nodiscard]] auto EligibleServersOf(const ServiceName& name)
      -> std::vector<EligibleServer>;
  auto Dispatch(ServiceCoordinator& service, const KeyCommand& command) -> void;
  /// Starts fibers for the calls that wait, up to the maximum per server.
  auto StartFibers(CallQueue& queue) -> void;
  auto RunQueue(CallQueue& queue) -> void;
  /// @return false if the call has to wait for a grant in flight.
  auto Call(CallQueue& queue, const KeyCommand& command,
            GrantScheduler& scheduler) -> bool;
  /// Calls the server. A call that fails in an unforeseen way counts as one
  /// without a response.
  auto SendGrant(const GrantCall& call) -> GrantResult;
  auto SendRelease(const KeyOwner& owner, KeyRange keys, FencingToken token,
                   Duration timeout) -> ReleaseReply;
  /// @return false if the grant has to wait for another one in flight.
  auto CallGrant(CallQueue& queue, KeyCommand command,
                 GrantScheduler& scheduler) -> bool;
  auto CallRelease(CallQueue& queue, const KeyCommand& command,
                   GrantScheduler& scheduler) -> void;
  auto RecordReply(CallQueue& queue, const KeyOwner& owner, bool has_responded)
      -> void;
  /// @return whether the directory has the entry of this process.
  [[nodiscard]] auto IsListed(const KeyOwner& owner) const -> bool;
  static auto FindFailing(CallQueue& queue, const KeyOwner& owner)
      -> std::vector<FailingOwner>::iterator;
  /// Another server responded to a call at the owner's address.
  auto OnOwnerReplaced(CallQueue& queue, const KeyOwner& owner,
                       GrantScheduler& scheduler) -> void;
  [[nodiscard]] auto IsReplaced(const CallQueue& queue,
                                const KeyOwner& owner) const -> bool;
  /// @return whether calls to the owner have failed for too long, or
  ///   another server has responded to one.
  [[nodiscard]] auto IsUnreachable(const KeyOwner& owner) -> bool;
  static auto QueueKey(const KeyOwner& owner) -> std::string;

  StoreClient& store;
  GrantClient& grant_client;
  const Clock& clock;
  const BackendDirectory& directory;
  OnChange on_change;
  GrantTiming timing;
  CoordinatorLease lease;
  /// Serialises writes: each one changes the version of the lease row that the
  /// next one expects.
  boost::fibers::mutex write_mutex;
  /// Never erased, as queued calls refer to the elements.
  std::map<ServiceName, Service> services;
  std::map<std::string, CallQueue> queues;
  /// When the active coordinator last accepted a report; zero after a failure.
  TimePoint last_contact_at{};
  bool was_held = false;
  bool stopped = false;
};

}  // namespace currantbeam
