#pragma once

#include <map>
#include <string>

#include "http/http.h"
#include "keys/keys.h"
#include "router/owner_directory.h"
#include "router/router_settings.h"

namespace currantbeam {

/// What the hosts tell each other: reports of load go to the keeper of keys,
/// its changes of owners come back at once. Either may get lost; the store
/// then fills the gap. Runs on one loop.
class PeerExchange : public HttpHandler {
 public:
  PeerExchange(const RouterSettings& settings, const Clock& clock,
               LoadRecorder& loads, OwnerDirectory& owners, FleetSize& fleet,
               StoreClient& store);

  /// Starts listening and reporting on the calling loop.
  auto Start(FiberLoop& loop, KeyKeeper& keeper) -> void;
  /// Tells the hosts that have reported lately, and this one, of a change.
  auto Publish(const OwnerUpdate& update) -> void;

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

 private:
  struct Peer {
    Endpoint endpoint;
    TimePoint heard_at{};
  };

  auto RunReports() -> void;
  auto RunReads() -> void;
  auto SendReport(const LoadReport& report) -> bool;
  /// @return what this host tells others while it keeps the keys.
  auto MakeAdvice() -> KeeperAdvice;
  auto ApplyAdvice(const KeeperAdvice& advice) -> void;
  auto TakeReport(HttpExchange& exchange) -> void;
  [[nodiscard]] auto IsPresent(const Peer& peer) const -> bool;
  auto SendUpdate(const Endpoint& endpoint, const std::string& body) -> void;
  auto ReadOwners() -> void;

  RouterSettings settings;
  const Clock& clock;
  LoadRecorder& loads;
  OwnerDirectory& owners;
  FleetSize& fleet;
  StoreClient& store;
  KeyKeeper* keeper = nullptr;
  HttpServer server;
  std::map<HostId, Peer> peers;
  TimePoint contact_at{};  ///< When the keeper last took a report.
};

}  // namespace currantbeam
