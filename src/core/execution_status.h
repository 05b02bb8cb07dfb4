#pragma once

#include <string_view>

namespace currantbeam {

/// Whether a request has run on a backend server, as far as the sender knows.
/// Only kNotRun makes it safe to retry a request that is not idempotent.
enum class ExecutionStatus {
  kNotRun,      ///< No byte of the request can have reached a backend server.
  kMayHaveRun,  ///< The request was sent and its outcome is unknown.
  kRan,         ///< A backend server responded to the request.
};

/// @return the status as written in the `currantbeam-verdict` header.
auto ToString(ExecutionStatus status) -> std::string_view;

/// @param text  a value of the `currantbeam-verdict` header.
/// @return the status; kMayHaveRun for any other text.
auto ExecutionStatusFromString(std::string_view text) -> ExecutionStatus;

}  // namespace currantbeam
