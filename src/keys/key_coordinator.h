#pragma once

#include <boost/fiber/mutex.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "backends/backends.h"
#include "keys/coordinator_lease.h"
#include "keys/load_report_reply.h"
#include "keys/service_coordinator.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Keeps the owners of all keyed services while this process holds the lease:
/// commits changes to the store first, and then grants and releases. Runs on
/// one loop; all its methods are called there.
class KeyCoordinator {
 public:
  struct Options {
    CoordinatorLease::Options lease;
    GrantTiming grants;
  };

  /// Told of each change of owners once it is in the store.
  using OnChange = std::function<void(const OwnerUpdate&)>;

  KeyCoordinator(StoreClient& store, GrantClient& grants, const Clock& clock,
                 const BackendDirectory& directory, const Options& options,
                 OnChange on_change);

  /// Starts the keeper's fibers on the calling loop.
  auto Start() -> void;
  /// Gives the duty to another host; for good.
  auto Stop() -> void;
  /// @return the versions of the owners that are worked on, by service.
  [[nodiscard]] auto Versions() -> OwnerVersions;
  /// @param known  the versions that a host knows, by service.
  /// @return the owners of which it knows older versions, as stored.
  [[nodiscard]] auto OwnersSince(const OwnerVersions& known) const
      -> TableUpdate;
  auto OnReport(const LoadReport& report) -> void;
  /// @return where reports go; empty if that is not known.
  [[nodiscard]] auto ReportEndpoint() const -> std::string {
    return this->lease.HolderEndpoint();
  }
  [[nodiscard]] auto IsActive() const -> bool { return this->lease.IsHeld(); }
  /// The keeper took a report of this host, or did not.
  auto OnCoordinatorContact(bool is_accepted) -> void;
  auto SetServices(const std::set<ServiceName>& keyed) -> void;

 private:
  struct Service {
    ServiceCoordinator coordinator;
    bool is_keyed = true;  ///< By the newest configuration.
  };
  /// Calls to one server, in order, a few at a time.
  struct CallQueue {
    struct Call {
      ServiceCoordinator* service = nullptr;
      KeyCommand command;
    };
    std::deque<Call> calls;
    int fibers = 0;
    TimePoint paused_until{};
    TimePoint first_failure_at{};
    int failures_in_row = 0;
  };

  auto RunLease() -> void;
  auto StepLease() -> Duration;
  auto RunCommands() -> void;
  /// Loads and commits; apart from the calls, which go on while the store
  /// does not answer.
  auto RunCommits() -> void;
  auto SendCommands(ServiceCoordinator& service) -> void;
  auto Commit(ServiceCoordinator& service) -> void;
  auto ReportReusedAddresses(GrantScheduler& scheduler) const -> void;
  [[nodiscard]] auto EligibleServersOf(const ServiceName& name) const
      -> std::vector<EligibleServer>;
  auto Dispatch(ServiceCoordinator& service, const KeyCommand& command) -> void;
  auto RunQueue(CallQueue& queue) -> void;
  auto Call(CallQueue& queue, const KeyCommand& command,
            GrantScheduler& scheduler) -> void;
  auto CallGrant(CallQueue& queue, const KeyCommand& command,
                 GrantScheduler& scheduler) -> void;
  auto CallRelease(CallQueue& queue, const KeyCommand& command,
                   GrantScheduler& scheduler) -> void;
  auto RecordReply(CallQueue& queue, bool has_responded) -> void;
  [[nodiscard]] auto IsUnreachable(const KeyOwner& owner) const -> bool;
  static auto QueueKey(const KeyOwner& owner) -> std::string;

  StoreClient& store;
  GrantClient& grants;
  const Clock& clock;
  const BackendDirectory& directory;
  OnChange on_change;
  GrantTiming timing;
  CoordinatorLease lease;
  boost::fibers::mutex write_mutex;  ///< One write at a time, as each changes
                                     ///< the version that the next one expects.
  std::map<ServiceName, Service> services;  ///< Never erased, as calls refer
                                            ///< to them.
  std::map<std::string, CallQueue> queues;
  TimePoint
      last_contact_at{};  ///< When the keeper last showed that it is active.
  bool was_held = false;
  bool stopped = false;
};

}  // namespace currantbeam
