#pragma once

#include <cstddef>

namespace currantbeam {

/// How an attempt at a server ended.
enum class AttemptEnd {
  kAnswered,    ///< The caller has its answer, or it broke off midway.
  kNotRun,      ///< The server cannot have run the request.
  kWrongOwner,  ///< The server does not hold the key; it did not run it.
  kMayHaveRun,
  kClientGone,
};

/// How many ways there are for an attempt to end.
constexpr std::size_t kAttemptEnds = 5;

}  // namespace currantbeam
