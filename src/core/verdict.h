#pragma once

#include <string_view>

namespace currantbeam {

/// Says whether a request may have run on a backend server.
enum class Verdict {
  kNotRun,      ///< No byte of the request can have reached a backend server.
  kMayHaveRun,  ///< The request was sent and its outcome is unknown.
  kRan,         ///< A backend server answered the request.
};

/// @return the verdict as written in the `currantbeam-verdict` header.
auto ToString(Verdict verdict) -> std::string_view;

/// @param text  a value of the `currantbeam-verdict` header.
/// @return the verdict; anything unknown counts as kMayHaveRun.
auto VerdictFromString(std::string_view text) -> Verdict;

}  // namespace currantbeam
