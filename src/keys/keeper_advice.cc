#include "keys/keeper_advice.h"

#include <nlohmann/json.hpp>

namespace currantbeam {
namespace {

auto ToBinary(const std::string& text) -> nlohmann::json {
  return nlohmann::json::binary({text.begin(), text.end()});
}

auto ToText(const nlohmann::json& json) -> std::string {
  const auto& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

auto KeeperAdvice::Encode() const -> std::string {
  auto news = nlohmann::json::array();
  for (const auto& one : this->news) news.push_back(ToBinary(one.Encode()));
  const auto bytes = nlohmann::json::to_cbor(
      {this->hosts, ToBinary(EncodeVersions(this->versions)), std::move(news)});
  return {bytes.begin(), bytes.end()};
}

auto KeeperAdvice::Decode(const std::string& text) -> KeeperAdvice {
  try {
    const auto json = nlohmann::json::from_cbor(text);
    KeeperAdvice advice;
    advice.hosts = json.at(0).get<int>();
    if (advice.hosts < 1) throw InputError("keeper's advice: no host");
    advice.versions = DecodeVersions(ToText(json.at(1)));
    for (const auto& one : json.at(2)) {
      advice.news.push_back(TableNews::Decode(ToText(one)));
    }
    return advice;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("keeper's advice: ") + error.what());
  }
}

}  // namespace currantbeam
