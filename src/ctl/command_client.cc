#include "ctl/command_client.h"

#include <charconv>

#include "http/http.h"

namespace currantbeam {
namespace {

constexpr auto kTimeout = std::chrono::milliseconds(5000);
constexpr std::uint64_t kMaxResponseBytes = 64 * 1024 * 1024;

auto ParseEndpoint(const std::string& text) -> Endpoint {
  const auto colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    const auto* end = text.data() + text.size();
    const auto result =
        std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (result.ec == std::errc() && result.ptr == end && endpoint.port != 0) {
      endpoint.address = text.substr(0, colon);
      return endpoint;
    }
  }
  throw InputError("--placer: '" + text + "' is not ADDRESS:PORT");
}

}  // namespace

CommandClient::CommandClient(const std::vector<std::string>& placers) {
  for (const auto& text : placers) {
    this->placers.push_back(ParseEndpoint(text));
  }
}

auto CommandClient::Call(const std::string& target, const std::string& body,
                         bool is_change) -> CommandResponse {
  std::string last_error = "no placer is named";
  for (const auto& placer : this->placers) {
    HttpRequest request{is_change ? http::verb::post : http::verb::get, target,
                        11};
    request.body() = body;
    try {
      const auto response =
          Fetch(placer.address, placer.port, std::move(request), kTimeout,
                kMaxResponseBytes);
      return {response.result_int(), nlohmann::json::parse(response.body())};
    } catch (const RequestError& error) {
      last_error = error.what();
      if (is_change && error.GetVerdict() != Verdict::kNotRun) {
        break;
      }
    } catch (const nlohmann::json::exception&) {
      last_error = placer.ToString() + " is not a placer's operators' port";
    }
  }
  throw Error(last_error);
}

auto CommandClient::Get(const std::string& target) -> CommandResponse {
  return this->Call(target, "", false);
}

auto CommandClient::Post(const std::string& target, const nlohmann::json& body)
    -> CommandResponse {
  return this->Call(target, ToJsonText(body), true);
}

}  // namespace currantbeam
