#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Keys are numbers below this.
constexpr int kKeyCount = 65536;
/// Stripes of a new map: runs of neighbouring keys with one owner each.
constexpr int kDefaultStripeCount = 2048;

/// Consecutive keys, both ends included.
struct KeyRange {
  int first = 0;
  int last = 0;
};

/// One life of a backend server that owns keys, and where it is reached even
/// when its entry has gone.
struct KeyOwner {
  ServerId id;
  std::chrono::milliseconds started{0};
  std::string address;
  std::uint16_t port = 0;

  friend auto operator==(const KeyOwner& a, const KeyOwner& b) -> bool {
    return a.id == b.id && a.started == b.started && a.address == b.address &&
           a.port == b.port;
  }
};

// The names under which the JSON library looks for conversions.
auto to_json(nlohmann::json& json, const KeyOwner& owner) -> void;
auto from_json(const nlohmann::json& json, KeyOwner& owner) -> void;

/// Which server owns each stripe of a service's keys, and under which fencing
/// token. A stripe changes hands with a higher token only.
class OwnerMap {
 public:
  /// @param stripe_count  divides the number of keys.
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
  [[nodiscard]] auto OwnerOf(int stripe) const -> const KeyOwner*;
  /// @return the servers that own stripes, and some that did.
  [[nodiscard]] auto Owners() const -> const std::vector<KeyOwner>& {
    return this->owners;
  }
  /// @return the stripe's place in Owners(); negative if nobody owns it.
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
  /// @return the highest token that was ever assigned.
  [[nodiscard]] auto LastToken() const -> FencingToken {
    return this->last_token;
  }
  /// Takes a token that is above all others.
  auto NextToken() -> FencingToken { return ++this->last_token; }
  auto Assign(int stripe, const KeyOwner& owner, FencingToken token) -> void;

  /// @return the map's form in the store.
  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is not a map.
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
};

}  // namespace currantbeam
