#pragma once

#include "core/core.h"

namespace currantbeam {

/// An adaptive limit on the requests in flight at one backend server, derived
/// from the outcomes that this gateway observes. The limit starts at half the
/// server's slots, grows with each response, decreases when the server sheds
/// load, and never exceeds the server's slots.
class ConcurrencyLimit {
 public:
  /// @param slots  number of requests that the server can run concurrently.
  ConcurrencyLimit(int slots, TimePoint now);

  /// @return how many requests may be in flight at the server, at least 1.
  [[nodiscard]] auto Limit() const -> int;
  /// Records that the server answered a request.
  auto OnResponse(TimePoint now) -> void;
  /// Records that the server refused a request without running it.
  auto OnShed(TimePoint now) -> void;
  /// Restarts the ramp-up, for a server that has restarted.
  auto Reset(TimePoint now) -> void;
  auto SetSlots(int slots) -> void { this->slots = slots; }

 private:
  int slots;
  double limit = 1;
  TimePoint last_decrease;
};

}  // namespace currantbeam
