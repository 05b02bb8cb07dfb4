#include "keys/keeper_advice.h"

#include "core/cbor.h"

namespace currantbeam {

auto KeeperAdvice::Encode() const -> std::string {
  auto news = nlohmann::json::array();
  for (const auto& one : this->news) news.push_back(ToBinary(one.Encode()));
  return ToCbor(
      {this->hosts, ToBinary(EncodeVersions(this->versions)), std::move(news)});
}

auto KeeperAdvice::Decode(const std::string& text) -> KeeperAdvice {
  return FromCbor(text, "keeper's advice", [](const nlohmann::json& json) {
    KeeperAdvice advice;
    advice.hosts = json.at(0).get<int>();
    if (advice.hosts < 1) throw InputError("keeper's advice: no host");
    advice.versions = DecodeVersions(FromBinary(json.at(1)));
    for (const auto& one : json.at(2)) {
      advice.news.push_back(TableUpdate::Decode(FromBinary(one)));
    }
    return advice;
  });
}

}  // namespace currantbeam
