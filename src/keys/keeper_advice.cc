#include "keys/keeper_advice.h"

#include <nlohmann/json.hpp>

namespace currantbeam {

auto EncodeAdvice(const std::vector<KeeperAdvice>& advice) -> std::string {
  auto json = nlohmann::json::array();
  for (const auto& one : advice) {
    json.push_back({one.service.Value(), one.version});
  }
  const auto bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

auto DecodeAdvice(const std::string& text) -> std::vector<KeeperAdvice> {
  try {
    std::vector<KeeperAdvice> advice;
    for (const auto& one : nlohmann::json::from_cbor(text)) {
      KeeperAdvice decoded;
      decoded.service = one.at(0).get<ServiceName>();
      decoded.version = one.at(1).get<StoreVersion>();
      advice.push_back(std::move(decoded));
    }
    return advice;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("keeper's advice: ") + error.what());
  }
}

}  // namespace currantbeam
