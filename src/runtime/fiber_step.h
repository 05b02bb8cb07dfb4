#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace currantbeam {

/// Runs one step of a fiber that repeats its work until its loop stops. An
/// exception of the step is logged, so that it ends neither the work nor the
/// process.
/// @param fiber  names the work in the log.
/// @return false if the step has thrown.
auto TryStep(std::string_view fiber, const std::function<void()>& step) -> bool;

/// @return how many steps have failed in this process.
auto FailedSteps() -> std::uint64_t;

}  // namespace currantbeam
