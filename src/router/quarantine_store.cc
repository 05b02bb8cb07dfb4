#include "router/quarantine_store.h"

#include <algorithm>

#include "core/cbor.h"
#include "core/events.h"

namespace currantbeam {
namespace {

constexpr const char* kQuarantineTable = "quarantine";
constexpr const char* kRequestsKey = "requests";

/// The content of the row.
struct Record {
  Duration written_at{0};  ///< In the store's time.
  QuarantineState state;
};

auto Encode(const Record& record) -> std::string {
  return ToCbor({record.written_at.count(), ToBinary(record.state.Encode())});
}

auto Decode(const std::string& value) -> Record {
  return FromCbor(value, "quarantine row", [](const nlohmann::json& json) {
    Record record;
    record.written_at = Duration(json.at(0).get<std::int64_t>());
    record.state = QuarantineState::Decode(FromBinary(json.at(1)));
    return record;
  });
}

}  // namespace

auto QuarantineStore::LoadIfNeeded() -> void {
  if (this->is_loaded) return;
  try {
    const auto batch = this->store.Read(kQuarantineTable, "");
    this->SetStoreTime(batch.store_time);
    for (const auto& row : batch.rows) {
      if (row.name.key == kRequestsKey) {
        this->Apply(row.value, batch.store_time);
      }
    }
    this->is_loaded = true;
  } catch (const StoreError& error) {
    Log(events::kQuarantineUnread, {{"error", error.what()}});
  }
}

auto QuarantineStore::Apply(const std::string& value, Duration store_time)
    -> void {
  try {
    auto record = Decode(value);
    const auto age = std::max(store_time - record.written_at, Duration(0));
    for (auto& entry : record.state.quarantined) entry.remaining -= age;
    this->quarantine.Merge(record.state, this->clock.Now());
  } catch (const InputError& error) {
    Log(events::kQuarantineUnread, {{"error", error.what()}});
  }
}

auto QuarantineStore::StoreIfChanged() -> void {
  if (!this->is_loaded) return;
  QuarantineState state;
  state.quarantined = this->quarantine.State(this->clock.Now()).quarantined;
  const bool is_rolled_back = this->written_epoch < this->store_epoch();
  const bool is_outdated =
      this->quarantine.Version() != this->written_version ||
      (is_rolled_back && !state.quarantined.empty());
  if (is_outdated) this->Write(state);
}

auto QuarantineStore::Write(const QuarantineState& state) -> void {
  const auto version = this->quarantine.Version();
  StoreWrite write;
  StoreRow row;
  row.name = {kQuarantineTable, "", kRequestsKey};
  row.value = Encode({this->StoreTime(), state});
  write.puts.push_back(std::move(row));
  const auto result = this->store.Write(write);
  if (result.outcome != WriteOutcome::kWritten) return;
  this->SetStoreTime(result.store_time);
  this->written_version = version;
  this->written_epoch = result.version.epoch;
}

auto QuarantineStore::StoreTime() const -> Duration {
  return this->store_time + (this->clock.Now() - this->store_time_received_at);
}

auto QuarantineStore::SetStoreTime(Duration store_time) -> void {
  this->store_time = store_time;
  this->store_time_received_at = this->clock.Now();
}

}  // namespace currantbeam
