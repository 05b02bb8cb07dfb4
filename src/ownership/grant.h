#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Gives a backend server the right to accept work for a set of slots.
/// Replaces whatever an earlier grant with the same or a lower token gave.
struct Grant {
  FencingToken token = 0;
  std::uint64_t sequence = 0;    ///< Orders the grants of one token.
  std::uint64_t server_run = 0;  ///< The run whose clock `expires_at` is on.
  std::int64_t expires_at = 0;   ///< On the server's own clock, microseconds.
  std::vector<SlotIndex> slots;
};

/// A server's answer to a grant.
struct GrantAnswer {
  bool accepted = false;
  std::uint64_t server_run = 0;  ///< Identifies one run of the server.
  std::int64_t clock = 0;  ///< The server's clock after it took the grant.
  FencingToken token = 0;  ///< The highest token that the server has seen.
};

/// The server's side of a grant.
class GrantHolder {
 public:
  GrantHolder(const Clock& clock, std::uint64_t run) : clock(clock), run(run) {}

  /// Takes the grant unless it is older than what the server has seen, or
  /// was made for another run of the server.
  auto Accept(const Grant& grant) -> GrantAnswer;
  /// @return true if new work for the slot may be accepted right now.
  [[nodiscard]] auto Allows(FencingToken token, SlotIndex slot) const -> bool;
  /// @return true if work for the slot would be accepted by its own driver.
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
