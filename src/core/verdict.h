#pragma once

#include <string_view>

namespace currantbeam {

/// The verdict on whether a request has been run on a backend server, as far as
/// the sender knows. Only kNotRun makes it safe to retry a request that is not
/// idempotent.
enum class Verdict {
  kNotRun,      ///< No byte of the request can have reached a backend server.
  kMayHaveRun,  ///< The request was sent and its outcome is unknown.
  kRan,         ///< A backend server responded to the request.
};

/// @return the verdict as written in the `currantbeam-verdict` header.
auto ToString(Verdict verdict) -> std::string_view;

/// @param text  a value of the `currantbeam-verdict` header.
/// @return the verdict; kMayHaveRun for any other text.
auto VerdictFromString(std::string_view text) -> Verdict;

}  // namespace currantbeam
