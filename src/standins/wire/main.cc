#include <iostream>

#include "standins/standin_program.h"
#include "standins/wire/wire_backend.h"
#include "standins/wire/wire_store.h"

namespace currantbeam {
namespace {

/// Prints what a server does, one line each, with the machine's steady clock,
/// so that what several servers did can be put in order.
class PrintedEvents : public WireBackendEvents {
 public:
  auto OnRun(const std::string& request_id, int key) -> void override {
    std::cout << "run " << Now() << " " << request_id << " " << key
              << std::endl;
  }
  auto OnHold(int first, int last, std::uint64_t fence, Duration hold)
      -> void override {
    std::cout << "hold " << Now() << " " << first << " " << last << " " << fence
              << " " << hold.count() << std::endl;
  }
  auto OnReleased(int first, int last, std::uint64_t fence) -> void override {
    std::cout << "release " << Now() << " " << first << " " << last << " "
              << fence << std::endl;
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

auto Describe(CommandOptions& chosen)
    -> boost::program_options::options_description {
  namespace options = boost::program_options;
  options::options_description description("Options");
  chosen.address.Describe(description);
  auto add = description.add_options();
  add("role", options::value(&chosen.role)->required(), "store or server");
  add("id", options::value(&chosen.id)->default_value("s"), "the server's id");
  add("work-ms", options::value(&chosen.work_ms)->default_value(5),
      "work for a request, in milliseconds");
  add("slots", options::value(&chosen.behaviour.slots)->default_value(4),
      "requests worked on at a time");
  add("body-bytes",
      options::value(&chosen.behaviour.body_bytes)->default_value(100),
      "length of an answer");
  add("keyed", options::bool_switch(&chosen.behaviour.is_keyed),
      "run requests only for keys that were granted");
  return description;
}

auto Run(const CommandOptions& chosen) -> void {
  if (chosen.role == "store") {
    WireStore store;
    ServeUntilStopped(chosen.address, store);
    return;
  }
  PrintedEvents events;
  WireBackend server(chosen.id, &events);
  server.behaviour = chosen.behaviour;
  server.behaviour.work = std::chrono::milliseconds(chosen.work_ms);
  ServeUntilStopped(chosen.address, server, HttpLimits().body_bytes,
                    [&server] { server.WatchForPauses(); });
}

auto Main(int argc, char** argv) -> int {
  CommandOptions chosen;
  auto description = Describe(chosen);
  return RunStandin(argc, argv, "currantbeam-standin-wire", description,
                    [&] { Run(chosen); });
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
