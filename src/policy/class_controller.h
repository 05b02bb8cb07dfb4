#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "config/config.h"
#include "core/core.h"

namespace currantbeam {

/// What the controller found for one class.
struct ClassPolicy {
  double weight = 1;
  Duration patience{0};  ///< Longest predicted wait that is admitted.
};

/// Turns the targets that operators state into weights and patience, from
/// observed outcomes. A class that misses its waiting target gets more weight
/// and less patience; one that completes too little gets more weight, and more
/// patience while its waiting target allows.
class ClassController {
 public:
  /// Takes over new targets; what was learned of unchanged classes is kept.
  auto SetTargets(const std::vector<RequestClass>& classes) -> void;

  auto OnStarted(const ClassName& work, Duration waited) -> void;
  /// @param completed  true if the whole answer was in time.
  auto OnEnded(const ClassName& work, bool completed) -> void;
  /// Adjusts weights; call once an interval.
  auto Adjust() -> void;

  [[nodiscard]] auto PolicyOf(const ClassName& work) const -> ClassPolicy;

  static constexpr auto kInterval = std::chrono::milliseconds(250);

 private:
  struct State {
    RequestClass targets;
    ClassPolicy policy;
    std::uint64_t started = 0;
    std::uint64_t late = 0;  ///< Waited longer than the target.
    std::uint64_t ended = 0;
    std::uint64_t completed = 0;
  };
  static auto AdjustOne(State& state) -> void;

  std::map<ClassName, State> states;
};

}  // namespace currantbeam
