#pragma once

#include <string_view>

#include "core/core.h"
#include "store/store_version.h"

namespace currantbeam {

/// How a host received rows of a table.
enum class RowSource {
  kNone,             ///< It has received none yet.
  kRead,             ///< It read the table in the store.
  kFollowed,         ///< By its own call for changes of the store.
  kPeer,             ///< Another host called the store for it.
  kRelayed,          ///< Changes, from the leader.
  kRelayedSnapshot,  ///< The whole table, from the leader.
};

auto ToString(RowSource source) -> std::string_view;

/// What a host knows of a shared table.
struct TableStatus {
  StoreVersion version;  ///< Of its copy; number 0 if unknown.
  /// Time since the copy was last known to be up to date.
  Duration age{0};
  RowSource source = RowSource::kNone;  ///< Of the latest rows.
  /// The last call for its rows failed, at the store and through other hosts,
  /// and none have been received since.
  bool is_cut_off = false;
};

}  // namespace currantbeam
