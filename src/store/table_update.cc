#include "store/table_update.h"

#include "core/cbor.h"

namespace currantbeam {

auto TableUpdate::Encode() const -> std::string {
  auto rows = nlohmann::json::array();
  for (const auto& row : this->rows) {
    rows.push_back(
        {row.name.key, row.version, row.is_deleted, ToBinary(row.value)});
  }
  return ToCbor({this->table, this->is_full, this->version, this->age.count(),
                 std::move(rows)});
}

auto TableUpdate::Decode(const std::string& text) -> TableUpdate {
  return FromCbor(text, "table update", [](const nlohmann::json& json) {
    TableUpdate update;
    update.table = json.at(0).get<std::string>();
    update.is_full = json.at(1).get<bool>();
    update.version = json.at(2).get<StoreVersion>();
    update.age = Duration(json.at(3).get<std::int64_t>());
    for (const auto& item : json.at(4)) {
      StoreRow row;
      row.name = {update.table, "", item.at(0).get<std::string>()};
      row.version = item.at(1).get<StoreVersion>();
      row.is_deleted = item.at(2).get<bool>();
      row.value = FromBinary(item.at(3));
      update.rows.push_back(std::move(row));
    }
    return update;
  });
}

}  // namespace currantbeam
