#include "store/table_update.h"

#include "core/cbor.h"

namespace currantbeam {

auto TableUpdate::Encode() const -> std::string {
  auto rows = nlohmann::json::array();
  for (const auto& row : this->rows) {
    rows.push_back(
        {row.name.key, row.version, row.is_deleted, ToBinary(row.value)});
  }
  return ToCbor({this->table, this->is_whole, this->version, this->age.count(),
                 std::move(rows)});
}

auto TableUpdate::Decode(const std::string& text) -> TableUpdate {
  return FromCbor(text, "news of a table", [](const nlohmann::json& json) {
    TableUpdate news;
    news.table = json.at(0).get<std::string>();
    news.is_whole = json.at(1).get<bool>();
    news.version = json.at(2).get<StoreVersion>();
    news.age = Duration(json.at(3).get<std::int64_t>());
    for (const auto& one : json.at(4)) {
      StoreRow row;
      row.name = {news.table, "", one.at(0).get<std::string>()};
      row.version = one.at(1).get<StoreVersion>();
      row.is_deleted = one.at(2).get<bool>();
      row.value = FromBinary(one.at(3));
      news.rows.push_back(std::move(row));
    }
    return news;
  });
}

}  // namespace currantbeam
