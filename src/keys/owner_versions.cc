#include "keys/owner_versions.h"

#include <nlohmann/json.hpp>

namespace currantbeam {

auto EncodeVersions(const OwnerVersions& versions) -> std::string {
  auto json = nlohmann::json::array();
  for (const auto& [service, version] : versions) {
    json.push_back({service.Value(), version});
  }
  const auto bytes = nlohmann::json::to_cbor(json);
  return {bytes.begin(), bytes.end()};
}

auto DecodeVersions(const std::string& text) -> OwnerVersions {
  try {
    OwnerVersions versions;
    for (const auto& one : nlohmann::json::from_cbor(text)) {
      versions.emplace(one.at(0).get<ServiceName>(),
                       one.at(1).get<StoreVersion>());
    }
    return versions;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("versions of owners: ") + error.what());
  }
}

}  // namespace currantbeam
