#include <cstdlib>
#include <iostream>

#include "program/program.h"
#include "standins/standin_program.h"
#include "standins/wire/wire_backend.h"
#include "standins/wire/wire_store.h"

namespace currantbeam {
namespace {

/// Prints one line for each event of a server, with the time of the machine's
/// steady clock in microseconds, so that the soak can order the events of
/// several servers.
class PrintingObserver : public WireBackendObserver {
 public:
  auto OnRequestRun(const std::string& request_id, int key) -> void override {
    std::cout << "run " << Now() << " " << request_id << " " << key
              << std::endl;
  }
  auto OnGrantAccepted(int first, int last, std::uint64_t token,
                       Duration remaining_lease) -> void override {
    std::cout << "hold " << Now() << " " << first << " " << last << " " << token
              << " " << remaining_lease.count() << std::endl;
  }
  auto OnGrantReleased(int first, int last, std::uint64_t token)
      -> void override {
    std::cout << "release " << Now() << " " << first << " " << last << " "
              << token << std::endl;
  }

 private:
  static auto Now() -> std::int64_t {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  }
};

struct CommandOptions {
  StandinAddress address;
  std::string role;
  std::string id;
  std::int64_t work_ms = 0;
  WireBackendBehaviour behaviour;
};

auto DescribeOptions(CommandOptions& command)
    -> boost::program_options::options_description {
  namespace options = boost::program_options;
  options::options_description description("Options");
  command.address.AddOptions(description);
  auto add = description.add_options();
  add("role", options::value(&command.role)->required(), "store or server");
  add("id", options::value(&command.id)->default_value("s"), "the server's id");
  add("work-ms", options::value(&command.work_ms)->default_value(5),
      "work per request, in milliseconds");
  add("slots", options::value(&command.behaviour.slots)->default_value(4),
      "number of requests that run at the same time");
  add("body-bytes",
      options::value(&command.behaviour.body_bytes)->default_value(100),
      "length of a response body, in bytes");
  add("keyed", options::bool_switch(&command.behaviour.is_keyed),
      "run requests only for keys that are granted to the server");
  return description;
}

auto Run(const CommandOptions& command) -> void {
  if (command.role == "store") {
    WireStore store;
    ServeUntilStopped(command.address, store);
    return;
  }
  PrintingObserver observer;
  WireBackend server(command.id, &observer);
  server.SetCrash([] { std::_Exit(kExitFailure); });
  server.behaviour = command.behaviour;
  server.behaviour.work = std::chrono::milliseconds(command.work_ms);
  ServeUntilStopped(command.address, server, HttpLimits().body_bytes,
                    [&server] { server.DetectPauses(); });
}

auto Main(int argc, char** argv) -> int {
  CommandOptions command;
  auto description = DescribeOptions(command);
  return RunStandin(argc, argv, "currantbeam-standin-wire", description,
                    [&] { Run(command); });
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
