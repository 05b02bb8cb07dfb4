#include <boost/program_options.hpp>
#include <iostream>

#include "program/program.h"
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
  std::string role;
  std::string address;
  std::uint16_t port = 0;
  std::string id;
  std::int64_t work_ms = 0;
  WireBackendBehaviour behaviour;
  bool is_keyed = false;
};

auto Describe(CommandOptions& chosen)
    -> boost::program_options::options_description {
  namespace options = boost::program_options;
  options::options_description description("Options");
  auto add = description.add_options();
  add("help,h", "print this help and exit");
  add("role", options::value(&chosen.role)->required(), "store or server");
  add("address", options::value(&chosen.address)->default_value("127.0.0.1"),
      "IP number to listen on");
  add("port", options::value(&chosen.port)->required(), "port to listen on");
  add("id", options::value(&chosen.id)->default_value("s"), "the server's id");
  add("work-ms", options::value(&chosen.work_ms)->default_value(5),
      "work for a request, in milliseconds");
  add("slots", options::value(&chosen.behaviour.slots)->default_value(4),
      "requests worked on at a time");
  add("body-bytes",
      options::value(&chosen.behaviour.body_bytes)->default_value(100),
      "length of an answer");
  add("keyed", options::bool_switch(&chosen.is_keyed),
      "run requests only for keys that were granted");
  return description;
}

auto Serve(const CommandOptions& chosen, HttpHandler& handler) -> void {
  FiberLoop loop;
  HttpServer::Options server_options;
  server_options.address = chosen.address;
  server_options.port = chosen.port;
  HttpServer server(server_options, handler);
  StopSignal stop(loop, [&] {
    server.StopAccepting();
    loop.Stop();
  });
  server.Listen(loop);
  loop.Run();
}

auto Main(int argc, char** argv) -> int {
  namespace options = boost::program_options;
  try {
    CommandOptions chosen;
    const auto description = Describe(chosen);
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return kExitOk;
    }
    options::notify(values);
    if (chosen.role == "store") {
      WireStore store;
      Serve(chosen, store);
      return kExitOk;
    }
    PrintedEvents events;
    WireBackend server(chosen.id, &events);
    server.behaviour = chosen.behaviour;
    server.behaviour.work = std::chrono::milliseconds(chosen.work_ms);
    server.behaviour.is_keyed = chosen.is_keyed;
    Serve(chosen, server);
    return kExitOk;
  } catch (const options::error& error) {
    std::cerr << "currantbeam-standin-wire: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "currantbeam-standin-wire: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
