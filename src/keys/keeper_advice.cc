#include "keys/keeper_advice.h"

#include <nlohmann/json.hpp>

namespace currantbeam {

auto KeeperAdvice::Encode() const -> std::string {
  auto versions = nlohmann::json::array();
  for (const auto& [service, version] : this->versions) {
    versions.push_back({service.Value(), version});
  }
  const auto bytes = nlohmann::json::to_cbor({this->hosts, versions});
  return {bytes.begin(), bytes.end()};
}

auto KeeperAdvice::Decode(const std::string& text) -> KeeperAdvice {
  try {
    const auto json = nlohmann::json::from_cbor(text);
    KeeperAdvice advice;
    advice.hosts = json.at(0).get<int>();
    if (advice.hosts < 1) throw InputError("keeper's advice: no host");
    for (const auto& one : json.at(1)) {
      advice.versions.emplace(one.at(0).get<ServiceName>(),
                              one.at(1).get<StoreVersion>());
    }
    return advice;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("keeper's advice: ") + error.what());
  }
}

}  // namespace currantbeam
