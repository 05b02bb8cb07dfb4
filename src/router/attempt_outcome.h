#pragma once

#include <cstddef>

namespace currantbeam {

/// The outcome of one attempt to run a request at a backend server.
enum class AttemptOutcome {
  kAnswered,    ///< A response was sent to the caller, perhaps incomplete.
  kNotRun,      ///< The server did not run the request; a retry is safe.
  kWrongOwner,  ///< Not run, because the server does not own the key.
  kMayHaveRun,  ///< Failed after the request may have been sent.
  kClientDisconnected,
};

/// The number of values of AttemptOutcome.
constexpr std::size_t kAttemptOutcomeCount = 5;

}  // namespace currantbeam
