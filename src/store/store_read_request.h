#pragma once

#include <optional>
#include <string>

#include "store/store_client.h"

namespace currantbeam {

/// Asks another host to read the store, or for the rows of its copy. Its reply
/// is a TableUpdate.
struct StoreReadRequest {
  std::string table;
  std::string partition;
  /// Changes after this version are asked for; the whole partition if empty.
  std::optional<StoreVersion> after;
  /// How long the store may delay its response if nothing changed.
  std::chrono::milliseconds wait{0};
  /// Whether only the other host's copy of the table is asked for.
  bool is_of_copy = false;
  std::string sender;  ///< The ADDRESS:PORT of the host that asks.

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded request.
  static auto Decode(const std::string& text) -> StoreReadRequest;
};

}  // namespace currantbeam
