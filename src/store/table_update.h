#pragma once

#include <string>
#include <vector>

#include "store/store_client.h"

namespace currantbeam {

/// What one host tells another of a table that it follows in the store.
struct TableUpdate {
  std::string table;
  bool is_whole = false;     ///< All rows, rather than those that changed.
  StoreVersion version = 0;  ///< Up to which the rows are complete.
  Duration age{0};           ///< Since the table was seen to be as told here.
  std::vector<StoreRow> rows;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is no news.
  static auto Decode(const std::string& text) -> TableUpdate;
};

}  // namespace currantbeam
