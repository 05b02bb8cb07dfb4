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

/// A grant on its way to a server, with what is needed to judge its answer.
struct GrantAttempt {
  ServerId server;
  Grant grant;
  TimePoint sent_at;
  TimePoint usable_until;  ///< Until when this gateway may dispatch under it.
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  bool complete = false;  ///< No slot is kept only for work still in flight.
};

/// The gateway's side of driving: which servers it may send work to, under
/// which drive lease, token and grants. Holds no sockets.
class DrivenServerSet {
 public:
  DrivenServerSet(const LeaseTiming& timing, const Clock& clock);

  /// Extends the drive lease by a beat of the followed, active placer.
  auto Renew(const Beat& beat) -> void;
  /// Replaces the slots that each server is to own.
  /// @param owned   settled slots per server, from the domain's segments.
  /// @param session, cursor  the placer's run and cursor it accords with.
  auto SetOwned(std::map<ServerId, std::set<SlotIndex>> owned,
                std::uint64_t session, std::uint64_t cursor) -> void;

  /// @return the grants that are due now; each must be answered by
  /// Confirm() or Fail().
  auto DueGrants() -> std::vector<GrantAttempt>;
  /// Takes a server's answer to a grant.
  auto Confirm(const GrantAttempt& attempt, const GrantAnswer& answer) -> void;
  auto Fail(const GrantAttempt& attempt) -> void;

  /// @return the token to send with work for the slot, or nothing if no work
  /// may be sent now.
  [[nodiscard]] auto MayDispatch(const ServerId& server, SlotIndex slot) const
      -> std::optional<FencingToken>;
  /// Counts non-idempotent work, which keeps a slot from being released.
  auto BeginWork(const ServerId& server, SlotIndex slot) -> void;
  auto EndWork(const ServerId& server, SlotIndex slot) -> void;

  /// @return true if the server is driven here and was found to be lost.
  [[nodiscard]] auto HasLapsed(const ServerId& server) const -> bool;
  [[nodiscard]] auto Drives(const ServerId& server) const -> bool;
  [[nodiscard]] auto Reports() const -> std::vector<DriveReport>;

 private:
  struct Drive {
    FencingToken token = 0;
    std::uint64_t sequence = 0;
    bool outstanding = false;
    bool lapsed = false;
    std::uint64_t server_run = 0;
    std::optional<std::int64_t> server_clock;
    TimePoint sampled_sent;      ///< When the request of the sample was sent.
    TimePoint sampled_received;  ///< When the sample arrived.
    TimePoint next_grant;
    TimePoint last_confirmed;
    TimePoint may_hold_until;  ///< The server may accept work until then.
    TimePoint usable_until;
    std::set<SlotIndex> confirmed;
    std::uint64_t aligned = 0;
  };

  [[nodiscard]] auto HasLease() const -> bool;
  [[nodiscard]] auto IsHealthy(const Drive& drive) const -> bool;
  auto UpdateLapsed(Drive& drive) -> void;
  auto MakeAttempt(const ServerId& server, Drive& drive) -> GrantAttempt;
  [[nodiscard]] auto Matches(const GrantAttempt& attempt) -> Drive*;

  LeaseTiming timing;
  const Clock& clock;
  TimePoint lease_until;
  std::map<ServerId, Drive> drives;
  std::map<ServerId, std::set<SlotIndex>> owned;
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  std::map<std::pair<ServerId, SlotIndex>, int> working;
};

}  // namespace currantbeam
