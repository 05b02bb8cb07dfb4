#include "keys/owner_update.h"

#include <algorithm>

#include "core/cbor.h"
#include "keys/decode_integer.h"

namespace currantbeam {

auto OwnerUpdate::ChangesBetween(const OwnerMap& before, const OwnerMap& after)
    -> std::vector<Change> {
  std::vector<Change> changes;
  for (int i = 0; i < after.StripeCount(); ++i) {
    const auto* owner = after.OwnerOf(i);
    if (owner == nullptr || before.TokenOf(i) == after.TokenOf(i)) continue;
    changes.push_back({i, *owner, after.TokenOf(i)});
  }
  return changes;
}

auto OwnerUpdate::Encode() const -> std::string {
  std::vector<KeyOwner> owners;
  auto changes = nlohmann::json::array();
  for (const auto& change : this->changes) {
    auto it = std::find(owners.begin(), owners.end(), change.owner);
    if (it == owners.end()) it = owners.insert(owners.end(), change.owner);
    changes.push_back({change.stripe, it - owners.begin(), change.token});
  }
  auto list = nlohmann::json::array();
  for (const auto& owner : owners) list.push_back(owner);
  return ToCbor({{"s", this->service.Value()},
                 {"b", this->base_version},
                 {"v", this->version},
                 {"o", list},
                 {"c", changes}});
}

auto OwnerUpdate::Decode(const std::string& text) -> OwnerUpdate {
  return FromCbor(text, "owner update", [](const nlohmann::json& json) {
    OwnerUpdate update;
    update.service = json.at("s").get<ServiceName>();
    update.base_version = json.at("b").get<StoreVersion>();
    update.version = json.at("v").get<StoreVersion>();
    std::vector<KeyOwner> owners;
    for (const auto& owner : json.at("o")) {
      owners.push_back(owner.get<KeyOwner>());
    }
    for (const auto& change : json.at("c")) {
      const auto index = change.at(1).get<std::size_t>();
      if (index >= owners.size()) throw InputError("owner update: bad index");
      update.changes.push_back(
          {DecodeInteger(change.at(0), 0, kKeyCount - 1,
                         "owner update: stripe"),
           owners[index],
           DecodeInteger<FencingToken>(change.at(2), 0, kMaxToken,
                                       "owner update: token")});
    }
    return update;
  });
}

}  // namespace currantbeam
