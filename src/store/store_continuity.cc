#include "store/store_continuity.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// In a shorter interruption no entry can expire: servers write more often, and
/// entries last for several of their writes.
constexpr Duration kMaxGap = std::chrono::milliseconds(1500);

}  // namespace

auto StoreContinuity::OnAnswer(TimePoint at, Duration up_for) -> void {
  const bool is_first = !this->since;
  if (is_first || at - this->last_answer_at > kMaxGap) this->since = at;
  this->last_answer_at = std::max(this->last_answer_at, at);
  // An answer from before an interruption that is known here.
  if (at + kMaxGap < *this->since) return;
  this->since = std::min(*this->since, at - up_for);
}

auto StoreContinuity::UpFor(TimePoint at) const -> Duration {
  const bool is_known = this->since && at - this->last_answer_at <= kMaxGap;
  return is_known ? std::max<Duration>(at - *this->since, Duration(0))
                  : Duration(0);
}

}  // namespace currantbeam
