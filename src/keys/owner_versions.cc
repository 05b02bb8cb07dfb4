#include "keys/owner_versions.h"

#include "core/cbor.h"

namespace currantbeam {

auto EncodeVersions(const OwnerVersions& versions) -> std::string {
  auto json = nlohmann::json::array();
  for (const auto& [service, version] : versions) {
    json.push_back({service.Value(), version});
  }
  return ToCbor(json);
}

auto DecodeVersions(const std::string& text) -> OwnerVersions {
  return FromCbor(text, "versions of owners", [](const nlohmann::json& json) {
    OwnerVersions versions;
    for (const auto& entry : json) {
      versions.emplace(entry.at(0).get<ServiceName>(),
                       entry.at(1).get<StoreVersion>());
    }
    return versions;
  });
}

}  // namespace currantbeam
