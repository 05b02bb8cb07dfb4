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
               RelayedStore& store);

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
  /// Waits a little for the keeper to be known.
  auto AwaitKeeper() -> void;
  auto Report() -> void;
  auto RunReads() -> void;
  auto SendReport(const LoadReport& report) -> bool;
  /// @return what this host tells another while it keeps the keys.
  auto MakeAdvice(const LoadReport& report) -> KeeperAdvice;
  /// @param asked  when the report was sent that the advice answers.
  auto ApplyAdvice(KeeperAdvice advice, TimePoint asked) -> void;
  auto TakeReport(HttpExchange& exchange) -> void;
  auto TellOwners(HttpExchange& exchange) -> void;
  [[nodiscard]] auto IsPresent(const Peer& peer) const -> bool;
  auto SendUpdate(const Endpoint& endpoint, const std::string& body) -> void;
  auto ReadOwners() -> void;
  /// @return whether the keeper told its owners.
  auto ReadOwnersAtKeeper() -> bool;
  auto TakeOwners(const std::vector<StoreRow>& rows) -> void;

  RouterSettings settings;
  const Clock& clock;
  LoadRecorder& loads;
  OwnerDirectory& owners;
  FleetSize& fleet;
  RelayedStore& store;
  KeyKeeper* keeper = nullptr;
  HttpServer server;
  std::map<HostId, Peer> peers;
  TimePoint contact_at{};  ///< When the keeper last took a report.
};

}  // namespace currantbeam
