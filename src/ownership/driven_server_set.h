#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/core.h"
#include "ownership/grant.h"
#include "ownership/messages.h"
#include "ownership/segment.h"

namespace currantbeam {

/// A grant request in flight to a backend server, with the state from which
/// the grant was made. DrivenServerSet::Confirm() needs it with the answer.
struct GrantAttempt {
  ServerId server;
  Grant grant;
  TimePoint sent_at;
  TimePoint dispatch_until;   ///< The gateway dispatches under it until then.
  std::uint64_t session = 0;  ///< The placer's run when the grant was made.
  std::uint64_t cursor = 0;   ///< The placer's cursor when it was made.
  /// False if the grant keeps a slot that the server no longer owns, because
  /// non-idempotent work on it is still in flight.
  bool complete = false;
};

/// The backend servers that this gateway drives. A driver is the only gateway
/// that sends requests to the server: the placer assigns it (see DriverTable),
/// and it renews the server's grants, which list the slots that the server may
/// accept work for. Requests may be dispatched while both the driver lease from
/// the placer and the server's confirmed grant are valid. Does no I/O: the
/// caller sends the grants and returns the answers.
class DrivenServerSet {
 public:
  DrivenServerSet(const LeaseTiming& timing, const Clock& clock);

  /// Renews the driver lease with a heartbeat of the active placer and replaces
  /// the driven servers by its assignments. The lease counts from the time at
  /// which this gateway sent the report that the placer last received.
  auto Renew(const Heartbeat& heartbeat) -> void;
  /// Replaces the slots that each server owns.
  /// @param owned   slots per server, from the domain's segments, without the
  /// slots that are being moved.
  /// @param session, cursor  the placer's run and the cursor of its document
  /// set that `owned` was made from.
  auto SetOwned(std::map<ServerId, std::set<SlotIndex>> owned,
                std::uint64_t session, std::uint64_t cursor) -> void;

  /// @return the grants to send now. The caller must report the outcome of each
  /// with Confirm() or Fail(); until then no other is due for that server.
  auto DueGrants() -> std::vector<GrantAttempt>;
  /// Records the server's answer to a grant. Ignored if the attempt is not the
  /// latest one for the server.
  auto Confirm(const GrantAttempt& attempt, const GrantAnswer& answer) -> void;
  /// Records that a grant failed or timed out, so that it is retried.
  auto Fail(const GrantAttempt& attempt) -> void;

  /// @return the fencing token to send with a request for the slot, or nullopt
  /// if the server may not be sent requests for the slot now.
  [[nodiscard]] auto DispatchToken(const ServerId& server, SlotIndex slot) const
      -> std::optional<FencingToken>;
  /// Counts non-idempotent requests in flight. A slot that the server no longer
  /// owns stays in its grant until they have ended.
  auto BeginWork(const ServerId& server, SlotIndex slot) -> void;
  auto EndWork(const ServerId& server, SlotIndex slot) -> void;

  /// @return true if this gateway drives the server and has given it up: it
  /// confirmed no grant in time, all its grants have expired, and no more are
  /// sent with the current token.
  [[nodiscard]] auto HasLapsed(const ServerId& server) const -> bool;
  [[nodiscard]] auto Contains(const ServerId& server) const -> bool;
  [[nodiscard]] auto Reports() const -> std::vector<DrivenServerReport>;

 private:
  struct ServerState {
    FencingToken token = 0;
    std::uint64_t sequence = 0;
    bool outstanding = false;
    bool lapsed = false;
    std::uint64_t server_run = 0;
    std::optional<std::int64_t> server_clock;
    /// When the grant was sent whose answer holds `server_clock`.
    TimePoint sample_sent_at;
    TimePoint sample_received_at;  ///< When that answer arrived.
    TimePoint next_grant;
    TimePoint last_confirmed;
    /// No grant that the server holds is valid after this time.
    TimePoint may_hold_until;
    TimePoint dispatch_until;
    std::set<SlotIndex> confirmed;
    std::uint64_t acked_cursor = 0;
  };

  [[nodiscard]] auto HasLease() const -> bool;
  [[nodiscard]] auto IsHealthy(const ServerState& state) const -> bool;
  auto UpdateLapsed(ServerState& state) -> void;
  auto MakeAttempt(const ServerId& server, ServerState& state) -> GrantAttempt;
  [[nodiscard]] auto Matches(const GrantAttempt& attempt) -> ServerState*;

  LeaseTiming timing;
  const Clock& clock;
  TimePoint lease_until;
  std::map<ServerId, ServerState> servers;
  std::map<ServerId, std::set<SlotIndex>> owned;
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  std::map<std::pair<ServerId, SlotIndex>, int> in_flight;
};

}  // namespace currantbeam
