#include "store/table_update.h"

#include "core/cbor.h"
#include "core/compression.h"

namespace currantbeam {
namespace {

/// Hosts of an older version send fewer fields, and ignore the ones that they
/// don't know.
constexpr std::size_t kStoreTimeField = 5;
constexpr std::size_t kStoreUpForField = 6;
constexpr std::size_t kWrittenAfterField = 4;

/// The limit on rows that were sent compressed.
constexpr std::size_t kMaxRowsBytes = 64 * 1024 * 1024;

auto EncodeRows(const std::vector<StoreRow>& rows) -> nlohmann::json {
  auto array = nlohmann::json::array();
  for (const auto& row : rows) {
    array.push_back({row.name.key, row.version, row.is_deleted,
                     ToBinary(row.value), row.written_after.count()});
  }
  return array;
}

/// @return the field of the array; 0 if the sender doesn't know it.
auto DurationAt(const nlohmann::json& json, std::size_t field) -> Duration {
  if (json.size() <= field) return Duration(0);
  return Duration(json.at(field).get<std::int64_t>());
}

auto DecodeRow(const nlohmann::json& json, const std::string& table)
    -> StoreRow {
  StoreRow row;
  row.name = {table, "", json.at(0).get<std::string>()};
  row.version = json.at(1).get<StoreVersion>();
  row.is_deleted = json.at(2).get<bool>();
  row.value = FromBinary(json.at(3));
  row.written_after = DurationAt(json, kWrittenAfterField);
  return row;
}

/// @param json  the rows, or a binary value with the rows compressed.
auto DecodeRows(const nlohmann::json& json, const std::string& table)
    -> std::vector<StoreRow> {
  if (json.is_binary()) {
    const auto text = Decompress(FromBinary(json), kMaxRowsBytes);
    return FromCbor(text, "compressed rows", [&](const nlohmann::json& rows) {
      if (!rows.is_array()) throw InputError("compressed rows: no array");
      return DecodeRows(rows, table);
    });
  }
  std::vector<StoreRow> rows;
  for (const auto& item : json) rows.push_back(DecodeRow(item, table));
  return rows;
}

}  // namespace

auto TableUpdate::CompressRows(const std::vector<StoreRow>& rows)
    -> std::string {
  return Compress(ToCbor(EncodeRows(rows)));
}

auto TableUpdate::Encode() const -> std::string {
  auto rows = this->compressed_rows ? ToBinary(*this->compressed_rows)
                                    : EncodeRows(this->rows);
  return ToCbor({this->table, this->is_full, this->version, this->age.count(),
                 std::move(rows), this->store_time.count(),
                 this->store_up_for.count()});
}

auto TableUpdate::Decode(const std::string& text) -> TableUpdate {
  return FromCbor(text, "table update", [](const nlohmann::json& json) {
    TableUpdate update;
    update.table = json.at(0).get<std::string>();
    update.is_full = json.at(1).get<bool>();
    update.version = json.at(2).get<StoreVersion>();
    update.age = Duration(json.at(3).get<std::int64_t>());
    update.rows = DecodeRows(json.at(4), update.table);
    update.store_time = DurationAt(json, kStoreTimeField);
    update.store_up_for = DurationAt(json, kStoreUpForField);
    if (update.store_up_for < Duration(0)) {
      throw InputError("table update: a negative duration");
    }
    return update;
  });
}

}  // namespace currantbeam
