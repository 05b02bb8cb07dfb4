#include "core/verdict.h"

namespace currantbeam {

auto ToString(Verdict verdict) -> std::string_view {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

auto VerdictFromString(std::string_view text) -> Verdict {
  if (text == "not-run") return Verdict::kNotRun;
  if (text == "ran") return Verdict::kRan;
  return Verdict::kMayHaveRun;
}

}  // namespace currantbeam
