#pragma once

#include <memory>
#include <string>
#include <vector>

#include "store/store_client.h"

namespace currantbeam {

/// A host has a newer copy of a table than another one, which can ask it for
/// the rows.
struct TableAnnouncement {
  std::string table;
  StoreVersion version;
};

/// The content of a table that one host sends another: a snapshot, or the rows
/// that changed since the version of the receiver's copy.
struct TableUpdate {
  std::string table;
  bool is_full = false;  ///< True if `rows` is the whole table.
  StoreVersion version;  ///< Rows are complete up to this version.
  /// Time since the sender's copy was last known to be up to date.
  Duration age{0};
  /// The sender's estimate of the store's clock; 0 if it has none.
  Duration store_time{0};
  /// How long the store had answered the sender without an interruption when
  /// its copy was last known to be up to date; 0 if it is unknown.
  Duration store_up_for{0};
  std::vector<StoreRow> rows;
  /// In place of `rows`, if they are sent compressed; made once for all
  /// receivers. Received updates have none.
  std::shared_ptr<const std::string> compressed_rows;

  /// @return rows in the form of `compressed_rows`.
  static auto CompressRows(const std::vector<StoreRow>& rows) -> std::string;
  /// @return the update in CBOR.
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded update.
  static auto Decode(const std::string& text) -> TableUpdate;
};

}  // namespace currantbeam
