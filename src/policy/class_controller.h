#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "config/config.h"
#include "core/core.h"

namespace currantbeam {

/// The scheduling parameters that ClassController has computed for one class.
struct ClassPolicy {
  double weight = 1;     ///< In the fair queueing of ServerQueue.
  Duration max_wait{0};  ///< Longest predicted wait that is admitted.
};

/// Derives the weight and the maximum wait of each class of work from the
/// targets in the configuration and the outcomes observed. A class that misses
/// its waiting target gets a higher weight and a shorter maximum wait. A class
/// that misses its completion target gets a higher weight, and a longer maximum
/// wait up to its waiting target.
class ClassController {
 public:
  /// Replaces the targets. Classes that were configured before keep their
  /// weight and counts, and their maximum wait within the bounds of the new
  /// targets; classes that are no longer configured are dropped.
  auto SetTargets(const std::vector<RequestClass>& classes) -> void;

  /// Records that a request started after waiting in the queue. Requests of a
  /// class that is not configured are ignored.
  auto OnStarted(const ClassName& class_name, Duration waited) -> void;
  /// Records that a request ended.
  /// @param completed  true if the whole response arrived before the deadline.
  auto OnFinished(const ClassName& class_name, bool completed) -> void;
  /// Adjusts all classes to the outcomes since the last call. To be called
  /// every kInterval.
  auto Adjust() -> void;

  /// @return the current policy of the class, or a default ClassPolicy if the
  ///   class is not configured.
  [[nodiscard]] auto PolicyFor(const ClassName& class_name) const
      -> ClassPolicy;

  static constexpr auto kInterval = std::chrono::milliseconds(250);

 private:
  struct State {
    RequestClass targets;
    ClassPolicy policy;
    std::uint64_t started = 0;
    std::uint64_t late = 0;  ///< Started after more than the waiting target.
    std::uint64_t finished = 0;
    std::uint64_t completed = 0;
  };
  static auto AdjustOne(State& state) -> void;

  std::map<ClassName, State> states;
};

}  // namespace currantbeam
