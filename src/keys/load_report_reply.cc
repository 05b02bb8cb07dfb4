#include "keys/load_report_reply.h"

#include "core/cbor.h"

namespace currantbeam {

auto LoadReportReply::Encode() const -> std::string {
  auto news = nlohmann::json::array();
  for (const auto& one : this->news) news.push_back(ToBinary(one.Encode()));
  return ToCbor(
      {this->hosts, ToBinary(EncodeVersions(this->versions)), std::move(news)});
}

auto LoadReportReply::Decode(const std::string& text) -> LoadReportReply {
  return FromCbor(text, "keeper's advice", [](const nlohmann::json& json) {
    LoadReportReply advice;
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
