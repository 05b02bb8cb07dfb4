#include "store/store_version.h"

#include <nlohmann/json.hpp>

namespace currantbeam {

auto to_json(nlohmann::json& json, const StoreVersion& version) -> void {
  json = nlohmann::json::array({version.epoch, version.number});
}

auto from_json(const nlohmann::json& json, StoreVersion& version) -> void {
  version.epoch = json.at(0).get<StoreEpoch>();
  version.number = json.at(1).get<std::uint64_t>();
}

}  // namespace currantbeam
