#include "standins/standin_program.h"

#include <iostream>

#include "program/program.h"

namespace currantbeam {

namespace options = boost::program_options;

auto RunStandin(int argc, const char* const* argv, const std::string& program,
                options::options_description& description,
                const std::function<void()>& run) -> int {
  description.add_options()("help,h", "print this help and exit");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return kExitOk;
    }
    options::notify(values);
    run();
    return kExitOk;
  } catch (const options::error& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kExitFailure;
  }
}

auto StandinAddress::AddOptions(options::options_description& description)
    -> void {
  auto add = description.add_options();
  add("address", options::value(&this->address)->default_value("127.0.0.1"),
      "IP address to listen on");
  add("port", options::value(&this->port)->required(), "port to listen on");
}

auto ServeUntilStopped(const StandinAddress& address, HttpHandler& handler,
                       std::uint64_t body_bytes,
                       const std::function<void()>& background_task) -> void {
  FiberLoop loop;
  HttpServer::Options server_options;
  server_options.address = address.address;
  server_options.port = address.port;
  server_options.limits.body_bytes = body_bytes;
  HttpServer server(server_options, handler);
  StopSignal stop(loop, [&] {
    server.StopAccepting();
    loop.Stop();
  });
  server.Listen(loop);
  if (background_task) loop.Spawn(background_task);
  loop.Run();
}

}  // namespace currantbeam
