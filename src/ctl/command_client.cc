#include "ctl/command_client.h"

#include <charconv>

#include "http/http.h"

namespace currantbeam {
namespace {

constexpr auto kTimeout = std::chrono::milliseconds(5000);

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
                         bool changes) -> CommandAnswer {
  std::string problem = "no placer is named";
  for (const auto& placer : this->placers) {
    HttpRequest request{changes ? http::verb::post : http::verb::get, target,
                        11};
    request.body() = body;
    try {
      const auto response =
          Fetch(placer.address, placer.port, std::move(request), kTimeout);
      return {response.result_int(), nlohmann::json::parse(response.body())};
    } catch (const RequestError& error) {
      problem = error.what();
      if (changes && error.GetExecutionStatus() != ExecutionStatus::kNotRun) {
        break;
      }
    } catch (const nlohmann::json::exception&) {
      problem = placer.ToString() + " is not a placer's operators' port";
    }
  }
  throw Error(problem);
}

auto CommandClient::Read(const std::string& target) -> CommandAnswer {
  return this->Call(target, "", false);
}

auto CommandClient::Change(const std::string& target,
                           const nlohmann::json& body) -> CommandAnswer {
  return this->Call(target, body.dump(), true);
}

}  // namespace currantbeam
