#include "keys/owner_map.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <limits>

#include "core/cbor.h"
#include "keys/decode_integer.h"

namespace currantbeam {
namespace {

/// The tokens of an epoch start at the epoch shifted by this many bits. Tokens
/// stay exact in peers that read JSON numbers as doubles while epochs have at
/// most 21 bits.
constexpr int kTokenBitsPerEpoch = 32;
/// The first token of the highest epoch that is accepted can be represented.
constexpr StoreEpoch kMaxEpoch = (StoreEpoch{1} << 30) - 1;
/// As long as the store's keys, one of which is the ID.
constexpr std::size_t kMaxServerIdBytes = 200;

auto DecodeServerId(const nlohmann::json& json) -> ServerId {
  const auto id = json.get<std::string>();
  // The ID is sent in headers.
  const bool is_printable = std::all_of(
      id.begin(), id.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (id.empty() || id.size() > kMaxServerIdBytes || !is_printable) {
    throw InputError("key owner: invalid server ID");
  }
  return ServerId(id);
}

auto DecodeAddress(const nlohmann::json& json) -> std::string {
  auto address = json.get<std::string>();
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (error) throw InputError("key owner: invalid IP address");
  return address;
}

}  // namespace

auto to_json(nlohmann::json& json, const KeyOwner& owner) -> void {
  json = {owner.id, owner.started.count(), owner.address, owner.port};
}

auto from_json(const nlohmann::json& json, KeyOwner& owner) -> void {
  using Limits = std::numeric_limits<std::int64_t>;
  owner.id = DecodeServerId(json.at(0));
  owner.started = std::chrono::milliseconds(DecodeInteger(
      json.at(1), Limits::min(), Limits::max(), "key owner: start time"));
  owner.address = DecodeAddress(json.at(2));
  owner.port = DecodeInteger<std::uint16_t>(
      json.at(3), 1, std::numeric_limits<std::uint16_t>::max(),
      "key owner: port");
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
    const auto stripe_count = indexes.size();
    const bool is_divisible = stripe_count > 0 && stripe_count <= kKeyCount &&
                              kKeyCount % stripe_count == 0;
    if (!is_divisible || tokens.size() != stripe_count) {
      throw InputError("owner map: invalid number of stripes or tokens");
    }
    OwnerMap map(static_cast<int>(stripe_count));
    for (const auto& owner : json.at("owners")) {
      if (map.owners.size() == stripe_count) {
        throw InputError("owner map: more owners than stripes");
      }
      map.owners.push_back(owner.get<KeyOwner>());
    }
    map.last_token = DecodeInteger<FencingToken>(json.at("last"), 0, kMaxToken,
                                                 "owner map: last token");
    const auto max_index = static_cast<int>(map.owners.size()) - 1;
    for (std::size_t i = 0; i < stripe_count; ++i) {
      map.stripes[i] = {DecodeInteger(indexes[i], kUnassigned, max_index,
                                      "owner map: owner index"),
                        DecodeInteger<FencingToken>(
                            tokens[i], 0, map.last_token, "owner map: token")};
    }
    // Maps stored by earlier versions of the program have no epoch.
    map.epoch =
        DecodeInteger<StoreEpoch>(json.value("epoch", nlohmann::json(0U)), 0,
                                  kMaxEpoch, "owner map: epoch");
    return map;
  });
}

}  // namespace currantbeam
