#include "keys/load_report_reply.h"

#include "core/cbor.h"

namespace currantbeam {

auto LoadReportReply::Encode() const -> std::string {
  auto table_updates = nlohmann::json::array();
  for (const auto& update : this->table_updates) {
    table_updates.push_back(ToBinary(update.Encode()));
  }
  return ToCbor({this->host_count,
                 ToBinary(EncodeVersions(this->owner_versions)),
                 std::move(table_updates)});
}

auto LoadReportReply::Decode(const std::string& text) -> LoadReportReply {
  return FromCbor(text, "load report reply", [](const nlohmann::json& json) {
    LoadReportReply reply;
    reply.host_count = json.at(0).get<int>();
    if (reply.host_count < 1) throw InputError("load report reply: no host");
    reply.owner_versions = DecodeVersions(FromBinary(json.at(1)));
    for (const auto& update : json.at(2)) {
      reply.table_updates.push_back(TableUpdate::Decode(FromBinary(update)));
    }
    return reply;
  });
}

}  // namespace currantbeam
