#include "keys/owner_map.h"

#include <algorithm>

#include "core/cbor.h"

namespace currantbeam {
namespace {

/// The tokens of an epoch start at the epoch shifted by this many bits. Tokens
/// stay exact in peers that read JSON numbers as doubles while epochs have at
/// most 21 bits.
constexpr int kTokenBitsPerEpoch = 32;

}  // namespace

auto to_json(nlohmann::json& json, const KeyOwner& owner) -> void {
  json = {owner.id, owner.started.count(), owner.address, owner.port};
}

auto from_json(const nlohmann::json& json, KeyOwner& owner) -> void {
  owner.id = json.at(0).get<ServerId>();
  owner.started = std::chrono::milliseconds(json.at(1).get<std::int64_t>());
  owner.address = json.at(2).get<std::string>();
  owner.port = json.at(3).get<std::uint16_t>();
}

auto OwnerMap::OwnerOf(int stripe) const -> const KeyOwner* {
  const auto index = this->stripes[stripe].owner;
  return index == kUnassigned ? nullptr : &this->owners[index];
}

auto OwnerMap::Assign(int stripe, const KeyOwner& owner, FencingToken token)
    -> void {
  this->stripes[stripe] = {this->IndexOf(owner), token};
  this->last_token = std::max(this->last_token, token);
}

auto OwnerMap::BeginEpoch(StoreEpoch epoch) -> void {
  this->epoch = epoch;
  this->last_token = std::max(this->last_token, epoch << kTokenBitsPerEpoch);
}

auto OwnerMap::IndexOf(const KeyOwner& owner) -> int {
  const auto it = std::find(this->owners.begin(), this->owners.end(), owner);
  if (it != this->owners.end()) {
    return static_cast<int>(it - this->owners.begin());
  }
  this->owners.push_back(owner);
  return static_cast<int>(this->owners.size()) - 1;
}

auto OwnerMap::DropUnusedOwners() -> void {
  std::vector<KeyOwner> used;
  std::vector<int> new_indexes(this->owners.size(), kUnassigned);
  for (auto& stripe : this->stripes) {
    if (stripe.owner == kUnassigned) continue;
    auto& index = new_indexes[stripe.owner];
    if (index == kUnassigned) {
      index = static_cast<int>(used.size());
      used.push_back(this->owners[stripe.owner]);
    }
    stripe.owner = index;
  }
  this->owners = std::move(used);
}

auto OwnerMap::Encode() const -> std::string {
  OwnerMap compact = *this;
  compact.DropUnusedOwners();
  auto owners = nlohmann::json::array();
  for (const auto& owner : compact.owners) owners.push_back(owner);
  std::vector<int> indexes;
  std::vector<FencingToken> tokens;
  for (const auto& stripe : compact.stripes) {
    indexes.push_back(stripe.owner);
    tokens.push_back(stripe.token);
  }
  const nlohmann::json json = {{"owners", owners},
                               {"stripes", indexes},
                               {"fences", tokens},
                               {"last", compact.last_token},
                               {"epoch", compact.epoch}};
  return ToCbor(json);
}

auto OwnerMap::Decode(const std::string& text) -> OwnerMap {
  return FromCbor(text, "owner map", [](const nlohmann::json& json) {
    const auto& indexes = json.at("stripes");
    const auto& tokens = json.at("fences");
    const auto stripe_count = static_cast<int>(indexes.size());
    const bool is_divisible = stripe_count > 0 && kKeyCount % stripe_count == 0;
    if (!is_divisible || tokens.size() != indexes.size()) {
      throw InputError("owner map: invalid number of stripes or tokens");
    }
    OwnerMap map(stripe_count);
    for (const auto& owner : json.at("owners")) {
      map.owners.push_back(owner.get<KeyOwner>());
    }
    const auto count = static_cast<int>(map.owners.size());
    for (int i = 0; i < stripe_count; ++i) {
      const auto index = indexes[i].get<int>();
      if (index < kUnassigned || index >= count) {
        throw InputError("owner map: owner index out of range");
      }
      map.stripes[i] = {index, tokens[i].get<FencingToken>()};
    }
    map.last_token = json.at("last").get<FencingToken>();
    // Maps stored by earlier versions of the program have no epoch.
    map.epoch = json.value("epoch", StoreEpoch(0));
    return map;
  });
}

}  // namespace currantbeam
