#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "platform/platform.h"
#include "standins/standin_program.h"

namespace currantbeam {
namespace {

/// Faults that a test switches on with POST /standin/faults.
struct Faults {
  bool down = false;          ///< Every connection closes without a response.
  bool lose_answers = false;  ///< Applies commits, sends no response.
  std::chrono::milliseconds delay{0};  ///< Added before each response.
};

/// Serves the platform's HTTP API from a MemoryPlatform, with faults on demand.
class PlatformHandler : public HttpHandler {
 public:
  explicit PlatformHandler(HostList hosts) {
    this->platform.SetHosts(std::move(hosts));
  }

  auto Handle(HttpExchange& exchange) -> void override {
    const std::string target(exchange.Request().target());
    if (target == "/standin/faults") return this->SetFaults(exchange);
    if (target == "/standin/hosts") return this->SetHosts(exchange);
    ++this->requests;
    if (this->faults.delay.count() != 0) SleepFor(this->faults.delay);
    if (this->faults.down) return exchange.Abort();
    auto response = HandlePlatformRequest(this->platform, exchange.Request());
    const bool is_commit = target == "/v1/table/commit";
    if (is_commit && this->faults.lose_answers) return exchange.Abort();
    exchange.Send(std::move(response));
  }

  auto OnBadInput(const std::string& what) -> void override {
    std::cerr << "bad request: " << what << "\n";
  }

 private:
  auto SetFaults(HttpExchange& exchange) -> void {
    const auto changes = nlohmann::json::parse(exchange.Request().body());
    this->faults.down = changes.value("down", false);
    this->faults.lose_answers = changes.value("lose_answers", false);
    this->faults.delay =
        std::chrono::milliseconds(changes.value("delay_ms", 0));
    exchange.Send(HttpResponse{http::status::ok, 11});
  }

  auto SetHosts(HttpExchange& exchange) -> void {
    this->platform.SetHosts(
        nlohmann::json::parse(exchange.Request().body()).get<HostList>());
    exchange.Send(HttpResponse{http::status::ok, 11});
  }

  MemoryPlatform platform;
  Faults faults;
  std::uint64_t requests = 0;
};

auto Main(int argc, char** argv) -> int {
  namespace options = boost::program_options;
  constexpr std::uint64_t kMaxBodyBytes = 256 * 1024 * 1024;
  StandinAddress address;
  std::string hosts_path;
  options::options_description description("Options");
  address.AddOptions(description);
  description.add_options()("hosts", options::value(&hosts_path)->required(),
                            "JSON file with the host list");
  return RunStandin(
      argc, argv, "currantbeam-standin-platform", description, [&] {
        std::ifstream file(hosts_path);
        if (!file) throw Error(hosts_path + ": cannot be read");
        PlatformHandler handler(nlohmann::json::parse(file).get<HostList>());
        ServeUntilStopped(address, handler, kMaxBodyBytes);
      });
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
