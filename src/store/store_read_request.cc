#include "store/store_read_request.h"

#include "core/cbor.h"

namespace currantbeam {
namespace {

/// Hosts ask for shorter waits.
constexpr auto kMaxWait = std::chrono::seconds(30);

}  // namespace

auto StoreReadRequest::Encode() const -> std::string {
  nlohmann::json after;
  if (this->after) after = *this->after;
  return ToCbor({this->table, this->partition, this->wait.count(),
                 std::move(after), this->is_of_copy, this->sender});
}

auto StoreReadRequest::Decode(const std::string& text) -> StoreReadRequest {
  return FromCbor(text, "store read request", [](const nlohmann::json& json) {
    StoreReadRequest request;
    request.table = json.at(0).get<std::string>();
    request.partition = json.at(1).get<std::string>();
    request.wait = std::chrono::milliseconds(json.at(2).get<std::int64_t>());
    if (request.wait.count() < 0 || request.wait > kMaxWait) {
      throw InputError("store read request: the wait is out of range");
    }
    // Hosts of an older version send fewer fields.
    const bool has_after = json.size() > 3 && !json.at(3).is_null();
    if (has_after) request.after = json.at(3).get<StoreVersion>();
    if (json.size() > 4) request.is_of_copy = json.at(4).get<bool>();
    if (json.size() > 5) request.sender = json.at(5).get<std::string>();
    return request;
  });
}

}  // namespace currantbeam
