#pragma once

#include <deque>

#include "core/core.h"

namespace currantbeam {

/// How many hosts share a limit, as this host was last told. A smaller number
/// counts only after some time, as hosts that cannot be heard may still work.
class FleetSize {
 public:
  auto OnTold(int hosts, TimePoint now) -> void;
  /// @return the largest number that this host was told lately; a large one
  ///   while it has been told none.
  [[nodiscard]] auto Hosts(TimePoint now) const -> int;

 private:
  struct Told {
    int hosts = 0;
    TimePoint at{};  ///< When it was last told.
  };
  /// In the order of time, numbers falling.
  std::deque<Told> told;
};

}  // namespace currantbeam
