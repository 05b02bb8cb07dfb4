#pragma once

#include <map>
#include <optional>
#include <string>

#include "http/http.h"
#include "keys/keys.h"
#include "router/owner_directory.h"
#include "router/router_settings.h"
#include "router/suspect_trials.h"
#include "router/trial_message.h"

namespace currantbeam {

/// Exchanges messages between hosts: each host periodically reports its load to
/// the host whose KeyCoordinator is active, and that host pushes changes of
/// owners at once to the hosts that report. Messages may be lost; owners are
/// then read from the coordinator or the store. Runs on one loop.
class PeerExchange : public HttpHandler, public SuspectTrials {
 public:
  /// @param store  follows the store's tables, also through updates that this
  ///   exchange brings.
  /// @param table_reads  reads tables for other hosts.
  /// @param first_contact_timeout  how long a host that starts waits for the
  ///   coordinator before it reads the owners from the store.
  PeerExchange(const RouterSettings& settings, const Clock& clock,
               LoadRecorder& loads, OwnerDirectory& owners, FleetSize& fleet,
               RequestQuarantine& quarantine, RelayedStore& store,
               TableReadServer& table_reads, KnownHosts& hosts,
               Duration first_contact_timeout);

  /// Starts listening, reporting and reading on the loop.
  auto Start(FiberLoop& loop, KeyCoordinator& coordinator) -> void;
  /// Sends an update to the hosts that have reported recently, and applies it
  /// to this host's owners.
  auto Publish(const OwnerUpdate& update) -> void;

  /// Asks the coordinator. While it is unreachable, one repetition at a time
  /// may be sent by this host.
  auto Acquire(RequestFingerprint request, Duration length) -> bool override;
  auto Release(RequestFingerprint request) -> void override;

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  /// A host that reports to this one while it is the coordinator.
  struct Peer {
    Endpoint endpoint;
    TimePoint last_report_at{};
  };

  auto RunReportLoop() -> void;
  /// Waits until the coordinator's endpoint is known, or for one report
  /// interval.
  auto AwaitCoordinator() -> void;
  /// Reports this host's load to the coordinator, which may be on this host.
  auto Report() -> void;
  auto RunReadLoop() -> void;
  /// Waits until the coordinator has accepted a report, at most for the first
  /// contact timeout.
  auto AwaitFirstContact() -> void;
  /// @return whether the coordinator accepted the report.
  auto SendReport(const LoadReport& report) -> bool;
  /// @return the coordinator's reply to the report.
  auto MakeReportReply(const LoadReport& report) -> LoadReportReply;
  /// Applies the reply's number of hosts, owner versions, table updates and
  /// quarantine.
  /// @param sent_at  when the report was sent.
  /// @param sender  ADDRESS:PORT of the coordinator.
  auto ApplyReportReply(LoadReportReply reply, TimePoint sent_at,
                        const std::string& sender) -> void;
  /// Handles a report of another host; 503 unless the coordinator is active.
  auto HandleReport(HttpExchange& exchange) -> void;
  /// Responds with the owners that are newer than the versions in the request;
  /// 503 unless the coordinator is active.
  auto HandleOwnersRequest(HttpExchange& exchange) -> void;
  /// Grants or takes back a permit for another host; 503 unless the
  /// coordinator is active.
  auto HandleTrial(HttpExchange& exchange) -> void;
  /// @param timeout  for the response, at most the timeout of all requests to
  ///   other hosts.
  /// @return whether the coordinator granted or refused the permit, or took it
  ///   back; nothing if it did not respond.
  auto SendTrial(const TrialMessage& message, std::chrono::milliseconds timeout)
      -> std::optional<bool>;
  /// @return whether the coordinator accepted a report recently.
  [[nodiscard]] auto IsInContact() const -> bool;
  [[nodiscard]] auto HasReportedRecently(const Peer& peer) const -> bool;
  auto SendUpdate(const Endpoint& endpoint, const std::string& body) -> void;
  /// Reads the owners from the coordinator, or from the store if that fails.
  auto ReadOwners() -> void;
  /// @return false if this failed or the coordinator is unreachable.
  auto ReadOwnersFromCoordinator() -> bool;
  auto ApplyOwners(const std::vector<StoreRow>& rows) -> void;

  RouterSettings settings;
  const Clock& clock;
  LoadRecorder& loads;
  OwnerDirectory& owners;
  FleetSize& fleet;
  RequestQuarantine& quarantine;
  RelayedStore& store;
  TableReadServer& table_reads;
  KnownHosts& hosts;
  Duration first_contact_timeout;
  KeyCoordinator* coordinator = nullptr;
  HttpServer server;
  std::map<HostId, Peer> peers;
  TrialPermits permits;
  TimePoint last_contact_at{};  ///< Of the last report that was accepted.
};

}  // namespace currantbeam
