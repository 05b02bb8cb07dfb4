#pragma once

#include <map>
#include <string>

#include "http/http.h"
#include "keys/keys.h"
#include "router/owner_directory.h"
#include "router/router_settings.h"

namespace currantbeam {

/// Exchanges messages between hosts: each host periodically reports its load to
/// the host whose KeyCoordinator is active, and that host pushes changes of
/// owners at once to the hosts that report. Messages may be lost; owners are
/// then read from the keeper or the store. Runs on one loop.
class PeerExchange : public HttpHandler {
 public:
  PeerExchange(const RouterSettings& settings, const Clock& clock,
               LoadRecorder& loads, OwnerDirectory& owners, FleetSize& fleet,
               RelayedStore& store);

  /// Starts listening and reporting on the calling loop.
  auto Start(FiberLoop& loop, KeyCoordinator& keeper) -> void;
  /// Sends an update to the hosts that have reported recently, and applies it
  /// to this host's owners.
  auto Publish(const OwnerUpdate& update) -> void;

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  /// A host that reports to this one while it is the keeper.
  struct Peer {
    Endpoint endpoint;
    TimePoint last_report_at{};
  };

  auto RunReportLoop() -> void;
  /// Waits until the keeper's endpoint is known, or for one report interval.
  auto AwaitKeeper() -> void;
  /// Reports this host's load to the keeper, which may be on this host.
  auto Report() -> void;
  auto RunReadLoop() -> void;
  /// @return whether the keeper accepted the report.
  auto SendReport(const LoadReport& report) -> bool;
  /// @return the keeper's reply to the report.
  auto MakeReportReply(const LoadReport& report) -> LoadReportReply;
  /// @param sent_at  when the report was sent to which this is the reply.
  auto ApplyReportReply(LoadReportReply reply, TimePoint sent_at) -> void;
  auto HandleReport(HttpExchange& exchange) -> void;
  auto HandleOwnersRequest(HttpExchange& exchange) -> void;
  [[nodiscard]] auto HasReportedRecently(const Peer& peer) const -> bool;
  auto SendUpdate(const Endpoint& endpoint, const std::string& body) -> void;
  auto ReadOwners() -> void;
  /// @return false if this failed or the keeper is unreachable.
  auto ReadOwnersFromKeeper() -> bool;
  auto ApplyOwners(const std::vector<StoreRow>& rows) -> void;

  RouterSettings settings;
  const Clock& clock;
  LoadRecorder& loads;
  OwnerDirectory& owners;
  FleetSize& fleet;
  RelayedStore& store;
  KeyCoordinator* keeper = nullptr;
  HttpServer server;
  std::map<HostId, Peer> peers;
  TimePoint last_contact_at{};  ///< When the keeper last accepted a report.
};

}  // namespace currantbeam
