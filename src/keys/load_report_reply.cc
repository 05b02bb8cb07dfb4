#include "keys/load_report_reply.h"

#include "core/cbor.h"

namespace currantbeam {
namespace {

/// Optional fields, of which hosts of an older version don't send the last.
constexpr std::size_t kQuarantineField = 3;
constexpr std::size_t kHostsField = 4;
constexpr std::size_t kAnnouncementsField = 5;

}  // namespace

auto LoadReportReply::Encode() const -> std::string {
  auto table_updates = nlohmann::json::array();
  for (const auto& update : this->table_updates) {
    table_updates.push_back(ToBinary(update.Encode()));
  }
  nlohmann::json reply = {this->host_count,
                          ToBinary(EncodeVersions(this->owner_versions)),
                          std::move(table_updates)};
  const bool has_announcements = !this->announcements.empty();
  const bool has_hosts = !this->hosts.empty() || has_announcements;
  if (!this->quarantine.IsEmpty() || has_hosts) {
    reply.push_back(ToBinary(this->quarantine.Encode()));
  }
  if (has_hosts) reply.push_back(this->hosts);
  if (has_announcements) {
    auto announcements = nlohmann::json::array();
    for (const auto& [table, version] : this->announcements) {
      announcements.push_back({table, version});
    }
    reply.push_back(std::move(announcements));
  }
  return ToCbor(reply);
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
    if (json.size() > kQuarantineField) {
      reply.quarantine =
          QuarantineState::Decode(FromBinary(json.at(kQuarantineField)));
    }
    if (json.size() > kHostsField) {
      reply.hosts = json.at(kHostsField).get<std::vector<std::string>>();
    }
    if (json.size() > kAnnouncementsField) {
      for (const auto& item : json.at(kAnnouncementsField)) {
        reply.announcements.push_back(
            {item.at(0).get<std::string>(), item.at(1).get<StoreVersion>()});
      }
    }
    return reply;
  });
}

}  // namespace currantbeam
