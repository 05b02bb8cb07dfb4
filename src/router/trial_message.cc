#include "router/trial_message.h"

#include "core/cbor.h"

namespace currantbeam {
namespace {

/// Longer permits are not requested: routes time out before.
constexpr Duration kMaxTrial = std::chrono::minutes(10);

}  // namespace

auto TrialMessage::Encode() const -> std::string {
  return ToCbor({this->request, this->is_release, this->length.count(),
                 ToBinary(this->quarantine.Encode())});
}

auto TrialMessage::Decode(const std::string& text) -> TrialMessage {
  return FromCbor(text, "trial message", [](const nlohmann::json& json) {
    TrialMessage message;
    message.request = json.at(0).get<RequestFingerprint>();
    message.is_release = json.at(1).get<bool>();
    message.length = Duration(json.at(2).get<std::int64_t>());
    if (message.length < Duration(0) || message.length > kMaxTrial) {
      throw InputError("trial message: the length is out of range");
    }
    message.quarantine = QuarantineState::Decode(FromBinary(json.at(3)));
    return message;
  });
}

}  // namespace currantbeam
