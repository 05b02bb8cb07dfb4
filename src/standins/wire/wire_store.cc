#include "standins/wire/wire_store.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <websocketpp/base64/base64.hpp>

namespace currantbeam {
namespace {

constexpr auto kPollTime = std::chrono::milliseconds(5);
/// The header that carries the number of the store's epoch, and its first
/// value.
constexpr const char* kEpochHeader = "Store-Era";
constexpr std::uint64_t kFirstEpoch = 1;

auto DecodePercent(const std::string& text) -> std::string {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%' || i + 2 >= text.size()) {
      decoded += text[i];
      continue;
    }
    const auto code = std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16);
    decoded += static_cast<char>(code);
    i += 2;
  }
  return decoded;
}

/// @return a parameter of the query; empty if it is missing.
auto QueryParameter(const std::string& target, const std::string& name)
    -> std::string {
  const auto query = target.find('?');
  if (query == std::string::npos) return {};
  const std::string text = "&" + target.substr(query + 1);
  const auto at = text.find("&" + name + "=");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 2;
  return DecodePercent(text.substr(begin, text.find('&', begin) - begin));
}

/// @return a parameter of the query; 0 if it is missing or not a number.
auto NumberParameter(const std::string& target, const std::string& name)
    -> double {
  return std::strtod(QueryParameter(target, name).c_str(), nullptr);
}

auto MillisecondsParameter(const std::string& target, const std::string& name)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(NumberParameter(target, name)));
}

auto EncodeRows(const std::vector<StoreRow>& rows) -> nlohmann::json {
  auto json = nlohmann::json::array();
  for (const auto& row : rows) {
    nlohmann::json encoded = {{"table", row.name.table},
                              {"part", row.name.partition},
                              {"key", row.name.key},
                              {"ver", row.version.number}};
    if (row.is_deleted) {
      encoded["deleted"] = true;
    } else {
      encoded["value"] = websocketpp::base64_encode(row.value);
    }
    json.push_back(std::move(encoded));
  }
  return json;
}

auto DecodeName(const nlohmann::json& json) -> RowName {
  return {json.at("table").get<std::string>(), json.value("part", ""),
          json.at("key").get<std::string>()};
}

auto MakeJsonResponse(http::status status, const nlohmann::json& body)
    -> HttpResponse {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, "application/json");
  response.body() = ToJsonText(body);
  return response;
}

auto EncodeBatch(const RowBatch& batch) -> nlohmann::json {
  return {{"rows", EncodeRows(batch.rows)},
          {"truncated", false},
          {"ver", batch.version.number},
          {"nowS", std::chrono::duration<double>(batch.store_time).count()}};
}

}  // namespace

auto WireStore::Put(const RowName& name, const std::string& value) -> void {
  this->ContinueRollback();
  this->backup.BeforeWrite();
  this->store.Put(name, value);
}

auto WireStore::Remove(const RowName& name) -> void {
  this->ContinueRollback();
  this->backup.BeforeWrite();
  this->store.Remove(name);
}

auto WireStore::Handle(HttpExchange& exchange) -> void {
  ++this->calls;
  while (this->is_hung && !exchange.IsClientDisconnected()) SleepFor(kPollTime);
  this->ContinueRollback();
  if (this->is_unavailable || this->rollback) {
    this->SendResponse(exchange,
                       HttpResponse{http::status::service_unavailable, 11});
    return;
  }
  this->SendResponse(exchange, this->Dispatch(exchange.Request()));
}

auto WireStore::SendResponse(HttpExchange& exchange, HttpResponse response)
    -> void {
  response.set(kEpochHeader, std::to_string(kFirstEpoch + this->store.Epoch()));
  exchange.Send(std::move(response));
}

auto WireStore::StartRollback(const Rollback& rollback) -> void {
  this->rollback = rollback;
  this->rollback_at = this->clock.Now() + rollback.down_time;
  this->ContinueRollback();
}

auto WireStore::ContinueRollback() -> void {
  if (this->rollback && this->clock.Now() >= this->rollback_at) {
    const auto& [age, down_time, rewrite_delay] = *this->rollback;
    const auto went_down_at = this->rollback_at - down_time;
    this->backup.RestoreTo(went_down_at - age, rewrite_delay);
    this->rollback.reset();
  }
  this->backup.RewriteIfDue();
}

auto WireStore::Dispatch(const HttpRequest& request) -> HttpResponse {
  const std::string target(request.target());
  const auto path = target.substr(0, target.find('?'));
  try {
    if (path == "/rows-tx") return this->HandleTransaction(request.body());
    if (path == "/rows-feed") return this->HandleFeed(target);
    if (path == "/standin/drop-history") {
      this->store.DropHistory();
      return MakeJsonResponse(http::status::ok, nlohmann::json::object());
    }
    if (path == "/standin/restore") return this->HandleRestore(target);
    if (path == "/rows-get") return this->HandleRead(target);
  } catch (const nlohmann::json::exception& error) {
    return MakeJsonResponse(http::status::bad_request,
                            {{"error", error.what()}});
  }
  return MakeJsonResponse(http::status::not_found, {{"error", "no such call"}});
}

auto WireStore::HandleRestore(const std::string& target) -> HttpResponse {
  const std::chrono::duration<double> age(NumberParameter(target, "seconds"));
  Rollback rollback;
  rollback.age = std::chrono::duration_cast<Duration>(age);
  rollback.down_time = MillisecondsParameter(target, "downMs");
  rollback.rewrite_delay = MillisecondsParameter(target, "rewriteMs");
  this->StartRollback(rollback);
  return MakeJsonResponse(http::status::ok, nlohmann::json::object());
}

auto WireStore::HandleRead(const std::string& target) -> HttpResponse {
  auto batch = this->store.Read(QueryParameter(target, "table"),
                                QueryParameter(target, "part"));
  const auto from = QueryParameter(target, "from");
  auto& rows = batch.rows;
  rows.erase(
      std::remove_if(rows.begin(), rows.end(),
                     [&](const StoreRow& row) { return row.name.key < from; }),
      rows.end());
  std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) {
    return a.name.key < b.name.key;
  });
  const bool is_truncated = rows.size() > this->max_page_rows;
  if (is_truncated) rows.resize(this->max_page_rows);
  auto json = EncodeBatch(batch);
  json["truncated"] = is_truncated;
  return MakeJsonResponse(http::status::ok, json);
}

auto WireStore::HandleFeed(const std::string& target) -> HttpResponse {
  const auto table = QueryParameter(target, "table");
  const StoreVersion after = {
      this->store.Epoch(),
      std::strtoull(QueryParameter(target, "after").c_str(), nullptr, 10)};
  const auto wait = MillisecondsParameter(target, "waitMs");
  const auto deadline = this->clock.Now() + wait;
  while (true) {
    this->ContinueRollback();
    if (this->rollback) {
      return HttpResponse{http::status::service_unavailable, 11};
    }
    try {
      const auto batch = this->store.Follow(table, after, wait);
      const bool is_complete =
          !batch.rows.empty() || this->clock.Now() >= deadline;
      if (is_complete || this->is_unavailable) {
        return MakeJsonResponse(http::status::ok, EncodeBatch(batch));
      }
    } catch (const HistoryLost&) {
      return MakeJsonResponse(http::status::gone, {{"error", "history"}});
    }
    SleepFor(kPollTime);
  }
}

auto WireStore::HandleTransaction(const std::string& body) -> HttpResponse {
  const auto json = nlohmann::json::parse(body);
  StoreWrite write;
  for (const auto& condition : json.at("expect")) {
    write.conditions.push_back(
        {DecodeName(condition),
         {this->store.Epoch(), condition.at("ver").get<std::uint64_t>()}});
  }
  for (const auto& put : json.at("puts")) {
    const auto value = put.at("value").get<std::string>();
    write.puts.push_back(
        {DecodeName(put), websocketpp::base64_decode(value), {}, false});
  }
  for (const auto& removal : json.at("remove")) {
    write.removals.push_back(DecodeName(removal));
  }
  this->backup.BeforeWrite();
  const auto result = this->store.Write(write);
  const auto now = std::chrono::duration<double>(result.store_time).count();
  if (result.outcome == WriteOutcome::kWritten) {
    return MakeJsonResponse(http::status::ok,
                            {{"ver", result.version.number}, {"nowS", now}});
  }
  return MakeJsonResponse(http::status::precondition_failed,
                          {{"rows", EncodeRows(result.rows)}, {"nowS", now}});
}

auto WireStore::OnBadInput(const std::string& /*what*/) -> void {}

}  // namespace currantbeam
