#include "store/row_source.h"

namespace currantbeam {

auto ToString(RowSource source) -> std::string_view {
  switch (source) {
    case RowSource::kNone:
      return "none";
    case RowSource::kRead:
      return "read";
    case RowSource::kFollowed:
      return "followed";
    case RowSource::kPeer:
      return "peer";
    case RowSource::kRelayed:
      return "relayed";
    case RowSource::kRelayedSnapshot:
      return "relayed-snapshot";
  }
  return "unknown";
}

}  // namespace currantbeam
