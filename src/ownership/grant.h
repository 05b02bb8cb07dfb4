#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Allows a backend server to accept work for a set of slots until it expires.
/// Replaces any earlier grant with the same or a lower token.
struct Grant {
  FencingToken token = 0;
  std::uint64_t sequence = 0;    ///< Orders the grants of one token.
  std::uint64_t server_run = 0;  ///< The server run whose clock is meant.
  std::int64_t expires_at = 0;   ///< On the server's own clock, microseconds.
  std::vector<SlotIndex> slots;
};

/// A server's answer to a grant.
struct GrantAnswer {
  bool accepted = false;
  std::uint64_t server_run = 0;  ///< Identifies one run of the server.
  std::int64_t clock = 0;  ///< The server's clock on receipt, microseconds.
  FencingToken token = 0;  ///< The highest token that the server has received.
};

/// The backend server's side of grants: stores the latest one and decides by it
/// which work the server accepts.
class GrantHolder {
 public:
  GrantHolder(const Clock& clock, std::uint64_t run) : clock(clock), run(run) {}

  /// Stores the grant. Rejects it if its token and sequence are not newer than
  /// those of the stored grant, or if it lists slots and was made for another
  /// run of the server, whose clock differs.
  auto Accept(const Grant& grant) -> GrantAnswer;
  /// @return true if the server may accept new work for the slot that was sent
  /// with this token.
  [[nodiscard]] auto Allows(FencingToken token, SlotIndex slot) const -> bool;
  /// @return true if an unexpired grant contains the slot.
  [[nodiscard]] auto Holds(SlotIndex slot) const -> bool;

 private:
  const Clock& clock;
  std::uint64_t run;
  FencingToken token = 0;
  std::uint64_t sequence = 0;
  std::int64_t expires_at = 0;
  std::set<SlotIndex> slots;
};

}  // namespace currantbeam
