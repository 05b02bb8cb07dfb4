#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "platform/platform.h"
#include "standins/standin_program.h"

namespace currantbeam {
namespace {

/// Faults that tests switch on.
struct Faults {
  bool down = false;          ///< Connections are dropped without an answer.
  bool lose_answers = false;  ///< Commits take effect, then go unanswered.
  std::chrono::milliseconds delay{0};
};

/// A small stand-in for the users' platform.
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
    auto response = AnswerPlatformRequest(this->platform, exchange.Request());
    const bool is_commit = target == "/v1/table/commit";
    if (is_commit && this->faults.lose_answers) return exchange.Abort();
    exchange.Send(std::move(response));
  }

  auto OnBadInput(const std::string& what) -> void override {
    std::cerr << "bad request: " << what << "\n";
  }

 private:
  auto SetFaults(HttpExchange& exchange) -> void {
    const auto wanted = nlohmann::json::parse(exchange.Request().body());
    this->faults.down = wanted.value("down", false);
    this->faults.lose_answers = wanted.value("lose_answers", false);
    this->faults.delay = std::chrono::milliseconds(wanted.value("delay_ms", 0));
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
  constexpr std::uint64_t kMostBody = 256 * 1024 * 1024;
  StandinAddress address;
  std::string hosts_path;
  options::options_description description("Options");
  address.Describe(description);
  description.add_options()("hosts", options::value(&hosts_path)->required(),
                            "JSON file with the host list");
  return RunStandin(
      argc, argv, "currantbeam-standin-platform", description, [&] {
        std::ifstream file(hosts_path);
        if (!file) throw Error(hosts_path + ": cannot be read");
        PlatformHandler handler(nlohmann::json::parse(file).get<HostList>());
        ServeUntilStopped(address, handler, kMostBody);
      });
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
