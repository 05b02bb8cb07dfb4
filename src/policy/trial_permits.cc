#include "policy/trial_permits.h"

#include <algorithm>

namespace currantbeam {

auto TrialPermits::Acquire(RequestFingerprint request, Duration length,
                           TimePoint now) -> bool {
  for (auto it = this->held_until.begin(); it != this->held_until.end();) {
    it = it->second <= now ? this->held_until.erase(it) : std::next(it);
  }
  return this->held_until.try_emplace(request, now + length).second;
}

auto TrialPermits::Release(RequestFingerprint request) -> void {
  this->held_until.erase(request);
}

}  // namespace currantbeam
