#pragma once

#include "core/core.h"

namespace currantbeam {

/// Tells clients that one server has no room for when to come back: one after
/// the other, as fast as the server answers, so that those who return find
/// room. Answers the load of a key that is asked for many times as often as
/// its server can answer, which lasts for seconds, and that of a short crest.
class RetryAfterScheduler {
 public:
  /// A client's request was answered by the server.
  auto OnAnswer() -> void { ++this->answers; }
  /// @param interval  in which the server is expected to answer one more
  ///   request of this host; where it has been seen to take longer since it
  ///   had no room, that counts.
  /// @param longest  that this client can be told to stay away.
  /// @return how long it is to stay away; never more than `longest`.
  [[nodiscard]] auto Next(TimePoint now, Duration interval, Duration longest)
      -> Duration;

 private:
  auto NoteFull(TimePoint now) -> void;

  TimePoint booked_until{};  ///< Until then each place has a client.
  TimePoint full_since{};    ///< Since then it has had no room time and again.
  TimePoint full_at{};       ///< When it last had no room.
  int answers = 0;           ///< Since it has been full.
};

}  // namespace currantbeam
