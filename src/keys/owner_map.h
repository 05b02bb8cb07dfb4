#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "store/store_version.h"

namespace currantbeam {

/// Keys are the numbers from 0 to kKeyCount - 1.
constexpr int kKeyCount = 65536;
/// Number of stripes in a new map. A stripe is a range of adjacent keys with
/// one owner.
constexpr int kDefaultStripeCount = 2048;

/// Higher tokens are rejected when a map is decoded, so that further ones can
/// be represented.
constexpr auto kMaxToken = static_cast<FencingToken>(1) << 62;

/// A range of adjacent keys, both ends included.
struct KeyRange {
  int first = 0;
  int last = 0;
};

/// One process of a backend server that owns keys: a restarted server is
/// another owner. Contains the address, so that it can be called after its
/// registration has expired.
struct KeyOwner {
  ServerId id;
  std::chrono::milliseconds started{0};  ///< As in the server's registration.
  std::string address;
  std::uint16_t port = 0;

  friend auto operator==(const KeyOwner& a, const KeyOwner& b) -> bool {
    return a.id == b.id && a.started == b.started && a.address == b.address &&
           a.port == b.port;
  }
};

// The JSON library requires these names.
auto to_json(nlohmann::json& json, const KeyOwner& owner) -> void;
auto from_json(const nlohmann::json& json, KeyOwner& owner) -> void;

/// The owner of each stripe of a service's keys, with the fencing token of its
/// grants. Each change of an owner needs a higher token. Stored by
/// ServiceCoordinator in one row for each service.
class OwnerMap {
 public:
  /// @param stripe_count  has to be a divisor of kKeyCount.
  explicit OwnerMap(int stripe_count = kDefaultStripeCount)
      : stripes(stripe_count) {}

  [[nodiscard]] auto StripeCount() const -> int {
    return static_cast<int>(this->stripes.size());
  }
  /// @return the keys of a stripe.
  [[nodiscard]] auto KeysOf(int stripe) const -> KeyRange {
    const int width = kKeyCount / this->StripeCount();
    return {stripe * width, (stripe + 1) * width - 1};
  }
  /// @return the stripe's owner; null if it is unassigned. Valid until the next
  ///   change of the map.
  [[nodiscard]] auto OwnerOf(int stripe) const -> const KeyOwner*;
  /// @return all owners, and some that no longer own a stripe.
  [[nodiscard]] auto Owners() const -> const std::vector<KeyOwner>& {
    return this->owners;
  }
  /// @return the index of the stripe's owner in Owners(); negative if the
  ///   stripe is unassigned.
  [[nodiscard]] auto OwnerIndexOf(int stripe) const -> int {
    return this->stripes[stripe].owner;
  }
  [[nodiscard]] auto StripeOfKey(int key) const -> int {
    return key / (kKeyCount / this->StripeCount());
  }
  [[nodiscard]] auto OwnerOfKey(int key) const -> const KeyOwner* {
    return this->OwnerOf(this->StripeOfKey(key));
  }
  [[nodiscard]] auto TokenOf(int stripe) const -> FencingToken {
    return this->stripes[stripe].token;
  }
  /// @return the highest token that was ever used in this map.
  [[nodiscard]] auto LastToken() const -> FencingToken {
    return this->last_token;
  }
  /// @return the epoch of the store in which the map is valid. A map that the
  ///   store holds in a later epoch was rolled back, so newer owners may exist.
  [[nodiscard]] auto Epoch() const -> StoreEpoch { return this->epoch; }
  /// Continues the map in a later epoch of the store. Further tokens are higher
  /// than all tokens of earlier epochs, including those that the store lost.
  auto BeginEpoch(StoreEpoch epoch) -> void;
  /// Reserves and returns a token higher than all others in this map.
  auto NextToken() -> FencingToken { return ++this->last_token; }
  auto Assign(int stripe, const KeyOwner& owner, FencingToken token) -> void;

  /// @return the map as it is stored.
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not an encoded map, or an owner can't be
  ///   called, or a token is above the last one.
  static auto Decode(const std::string& text) -> OwnerMap;

 private:
  static constexpr int kUnassigned = -1;
  struct Stripe {
    int owner = kUnassigned;  ///< Index into owners.
    FencingToken token = 0;
  };

  auto IndexOf(const KeyOwner& owner) -> int;
  auto DropUnusedOwners() -> void;

  std::vector<KeyOwner> owners;
  std::vector<Stripe> stripes;
  FencingToken last_token = 0;
  StoreEpoch epoch = 0;
};

}  // namespace currantbeam
