#include "platform/http_platform.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace currantbeam {

// Rows are encoded as [key, version, value], checks as [key, version].
static auto to_json(nlohmann::json& json, const TableRow& row) -> void {
  json = nlohmann::json::array({row.key, row.version, row.value});
}

static auto from_json(const nlohmann::json& json, TableRow& row) -> void {
  json.at(0).get_to(row.key);
  json.at(1).get_to(row.version);
  row.value = json.at(2);
}

static auto to_json(nlohmann::json& json, const TableCheck& check) -> void {
  json = nlohmann::json::array({check.key, check.version});
}

static auto from_json(const nlohmann::json& json, TableCheck& check) -> void {
  json.at(0).get_to(check.key);
  json.at(1).get_to(check.version);
}

namespace {

/// Responses may hold whole tables or objects, of up to this size.
constexpr std::uint64_t kMaxResponseBytes = 64 * 1024 * 1024;
constexpr const char* kReadPath = "/v1/table/read";
constexpr const char* kCommitPath = "/v1/table/commit";
constexpr const char* kHostsPath = "/v1/hosts";
constexpr const char* kObjectsPath = "/v1/objects/";

auto JsonResponse(http::status status, const nlohmann::json& body)
    -> HttpResponse {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, "application/json");
  response.body() = ToJsonText(body);
  return response;
}

}  // namespace

HttpPlatform::HttpPlatform(std::string address, std::uint16_t port,
                           std::chrono::milliseconds timeout)
    : address(std::move(address)), port(port), timeout(timeout) {}

auto HttpPlatform::Call(http::verb method, const std::string& target,
                        const std::string& body) -> HttpResponse {
  HttpRequest request{method, target, 11};
  request.body() = body;
  try {
    return Fetch(this->address, this->port, std::move(request), this->timeout,
                 kMaxResponseBytes);
  } catch (const RequestError& error) {
    throw PlatformError(std::string("platform: ") + error.what());
  }
}

auto HttpPlatform::ReadRows(const std::string& prefix)
    -> std::vector<TableRow> {
  const nlohmann::json request_json = {{"prefix", prefix}};
  const auto response =
      this->Call(http::verb::post, kReadPath, ToJsonText(request_json));
  if (response.result() != http::status::ok) {
    throw PlatformError("platform: table answered " +
                        std::to_string(response.result_int()));
  }
  try {
    return nlohmann::json::parse(response.body())
        .at("rows")
        .get<std::vector<TableRow>>();
  } catch (const nlohmann::json::exception& error) {
    throw PlatformError(std::string("platform: bad rows: ") + error.what());
  }
}

auto HttpPlatform::Commit(const TableTransaction& transaction)
    -> CommitOutcome {
  const nlohmann::json request_json = {{"operation", transaction.operation_id},
                                       {"checks", transaction.checks},
                                       {"writes", transaction.writes}};
  try {
    const auto response =
        this->Call(http::verb::post, kCommitPath, ToJsonText(request_json));
    if (response.result() == http::status::ok) {
      return CommitOutcome::kCommitted;
    }
    if (response.result() == http::status::conflict) {
      return CommitOutcome::kConflict;
    }
    return CommitOutcome::kUnknown;
  } catch (const PlatformError&) {
    return CommitOutcome::kUnknown;
  }
}

auto HttpPlatform::ReadHosts() -> HostList {
  const auto response = this->Call(http::verb::get, kHostsPath, "");
  try {
    return nlohmann::json::parse(response.body()).get<HostList>();
  } catch (const nlohmann::json::exception& error) {
    throw PlatformError(std::string("platform: bad host list: ") +
                        error.what());
  }
}

auto HttpPlatform::PutObject(const std::string& name, const std::string& data)
    -> void {
  const auto response = this->Call(http::verb::put, kObjectsPath + name, data);
  if (response.result() != http::status::ok) {
    throw PlatformError("platform: object '" + name + "' was not kept");
  }
}

auto HttpPlatform::FetchObject(const std::string& name)
    -> std::optional<std::string> {
  const auto response = this->Call(http::verb::get, kObjectsPath + name, "");
  if (response.result() == http::status::not_found) return std::nullopt;
  if (response.result() != http::status::ok) {
    throw PlatformError("platform: object '" + name + "' cannot be read");
  }
  return response.body();
}

auto HandlePlatformRequest(PlatformServices& services,
                           const HttpRequest& request) -> HttpResponse {
  const std::string target(request.target());
  try {
    if (target == kReadPath) {
      const auto request_json = nlohmann::json::parse(request.body());
      const auto rows =
          services.ReadRows(request_json.at("prefix").get<std::string>());
      return JsonResponse(http::status::ok, {{"rows", rows}});
    }
    if (target == kCommitPath) {
      const auto request_json = nlohmann::json::parse(request.body());
      TableTransaction transaction;
      request_json.at("operation").get_to(transaction.operation_id);
      request_json.at("checks").get_to(transaction.checks);
      request_json.at("writes").get_to(transaction.writes);
      const auto outcome = services.Commit(transaction);
      const bool committed = outcome == CommitOutcome::kCommitted;
      return JsonResponse(committed ? http::status::ok : http::status::conflict,
                          {{"committed", committed}});
    }
    if (target == kHostsPath) {
      return JsonResponse(http::status::ok, services.ReadHosts());
    }
    if (target.rfind(kObjectsPath, 0) == 0) {
      const auto name = target.substr(std::string(kObjectsPath).size());
      if (request.method() == http::verb::put) {
        services.PutObject(name, request.body());
        return JsonResponse(http::status::ok, nlohmann::json::object());
      }
      const auto object = services.FetchObject(name);
      if (!object) return JsonResponse(http::status::not_found, nullptr);
      HttpResponse response{http::status::ok, 11};
      response.body() = *object;
      return response;
    }
  } catch (const nlohmann::json::exception& error) {
    return JsonResponse(http::status::bad_request, {{"error", error.what()}});
  }
  return JsonResponse(http::status::not_found, {{"error", "no such service"}});
}

}  // namespace currantbeam
