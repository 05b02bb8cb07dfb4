#pragma once

#include <cstddef>
#include <map>

#include "policy/quarantine_state.h"

namespace currantbeam {

/// Lets one repetition of a suspect request run at a time. A permit ends by
/// itself, in case its holder does not return it.
class TrialPermits {
 public:
  /// @param length  after which the permit ends.
  /// @return whether the request may run now; false while another repetition
  ///   has the permit.
  auto Acquire(RequestFingerprint request, Duration length, TimePoint now)
      -> bool;
  auto Release(RequestFingerprint request) -> void;
  /// @return the number of permits that have not been returned.
  [[nodiscard]] auto Size() const -> std::size_t {
    return this->held_until.size();
  }

 private:
  std::map<RequestFingerprint, TimePoint> held_until;
};

}  // namespace currantbeam
