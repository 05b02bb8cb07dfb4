#include "policy/quarantine_state.h"

#include <sstream>

#include "core/cbor.h"
#include "policy/quarantine_limits.h"

namespace currantbeam {
namespace {

auto EncodeEnd(const ServerEnd& end) -> nlohmann::json {
  return {end.process.id.Value(), end.process.started.count(), end.age.count(),
          end.suspects, end.cleared};
}

/// @return a duration of at most the limit, forwards or backwards.
auto DecodeDuration(const nlohmann::json& json, Duration limit) -> Duration {
  const Duration duration(json.get<std::int64_t>());
  if (duration > limit || duration < -limit) {
    throw InputError("quarantine state: a duration is out of range");
  }
  return duration;
}

auto DecodeFingerprints(const nlohmann::json& json)
    -> std::set<RequestFingerprint> {
  auto fingerprints = json.get<std::set<RequestFingerprint>>();
  if (fingerprints.size() > kMaxSuspectsPerServer) {
    throw InputError("quarantine state: too many requests at one server");
  }
  return fingerprints;
}

auto DecodeEnd(const nlohmann::json& json) -> ServerEnd {
  ServerEnd end;
  end.process.id = ServerId(json.at(0).get<std::string>());
  end.process.started =
      std::chrono::milliseconds(json.at(1).get<std::int64_t>());
  end.age = DecodeDuration(json.at(2), kServerEndRetention);
  if (end.age < Duration(0)) {
    throw InputError("quarantine state: a server ends in the future");
  }
  end.suspects = DecodeFingerprints(json.at(3));
  end.cleared = DecodeFingerprints(json.at(4));
  return end;
}

auto EncodeRequest(const QuarantinedRequest& entry) -> nlohmann::json {
  return {entry.request, entry.count, entry.remaining.count(),
          entry.is_cleared};
}

auto DecodeRequest(const nlohmann::json& json) -> QuarantinedRequest {
  QuarantinedRequest entry;
  entry.request = json.at(0).get<RequestFingerprint>();
  entry.count = json.at(1).get<int>();
  if (entry.count < 1 || entry.count > kMaxQuarantineCount) {
    throw InputError("quarantine state: a count is out of range");
  }
  entry.remaining = DecodeDuration(json.at(2), kMaxQuarantine);
  entry.is_cleared = json.at(3).get<bool>();
  return entry;
}

}  // namespace

auto FormatFingerprint(RequestFingerprint request) -> std::string {
  std::ostringstream text;
  text << std::hex << request;
  return text.str();
}

auto QuarantineState::Encode() const -> std::string {
  auto ends = nlohmann::json::array();
  for (const auto& end : this->ends) ends.push_back(EncodeEnd(end));
  auto quarantined = nlohmann::json::array();
  for (const auto& entry : this->quarantined) {
    quarantined.push_back(EncodeRequest(entry));
  }
  return ToCbor({std::move(ends), std::move(quarantined)});
}

auto QuarantineState::Decode(const std::string& text) -> QuarantineState {
  return FromCbor(text, "quarantine state", [](const nlohmann::json& json) {
    const auto& ends = json.at(0);
    const auto& quarantined = json.at(1);
    if (ends.size() > kMaxSuspects || quarantined.size() > kMaxQuarantined) {
      throw InputError("quarantine state: too many entries");
    }
    QuarantineState state;
    for (const auto& end : ends) state.ends.push_back(DecodeEnd(end));
    for (const auto& entry : quarantined) {
      state.quarantined.push_back(DecodeRequest(entry));
    }
    return state;
  });
}

}  // namespace currantbeam
