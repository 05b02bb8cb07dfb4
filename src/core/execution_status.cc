#include "core/execution_status.h"

namespace currantbeam {

auto ToString(ExecutionStatus status) -> std::string_view {
  switch (status) {
    case ExecutionStatus::kNotRun:
      return "not-run";
    case ExecutionStatus::kMayHaveRun:
      return "may-have-run";
    case ExecutionStatus::kRan:
      return "ran";
  }
  return "may-have-run";
}

auto ExecutionStatusFromString(std::string_view text) -> ExecutionStatus {
  if (text == "not-run") return ExecutionStatus::kNotRun;
  if (text == "ran") return ExecutionStatus::kRan;
  return ExecutionStatus::kMayHaveRun;
}

}  // namespace currantbeam
