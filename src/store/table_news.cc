#include "store/table_news.h"

#include <nlohmann/json.hpp>

namespace currantbeam {

auto TableNews::Encode() const -> std::string {
  auto rows = nlohmann::json::array();
  for (const auto& row : this->rows) {
    const std::vector<std::uint8_t> value(row.value.begin(), row.value.end());
    rows.push_back({row.name.key, row.version, row.is_deleted,
                    nlohmann::json::binary(value)});
  }
  const auto bytes =
      nlohmann::json::to_cbor({this->table, this->is_whole, this->version,
                               this->age.count(), std::move(rows)});
  return {bytes.begin(), bytes.end()};
}

auto TableNews::Decode(const std::string& text) -> TableNews {
  try {
    const auto json = nlohmann::json::from_cbor(text);
    TableNews news;
    news.table = json.at(0).get<std::string>();
    news.is_whole = json.at(1).get<bool>();
    news.version = json.at(2).get<StoreVersion>();
    news.age = Duration(json.at(3).get<std::int64_t>());
    for (const auto& one : json.at(4)) {
      StoreRow row;
      row.name = {news.table, "", one.at(0).get<std::string>()};
      row.version = one.at(1).get<StoreVersion>();
      row.is_deleted = one.at(2).get<bool>();
      const auto& value = one.at(3).get_binary();
      row.value.assign(value.begin(), value.end());
      news.rows.push_back(std::move(row));
    }
    return news;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("news of a table: ") + error.what());
  }
}

}  // namespace currantbeam
