#include <boost/program_options.hpp>
#include <iostream>
#include <random>

#include "program/program.h"
#include "standins/server/server_handler.h"

namespace currantbeam {
namespace {

auto Main(int argc, char** argv) -> int {
  namespace options = boost::program_options;
  std::string address;
  std::uint16_t port = 0;
  ServerBehaviour behaviour;
  std::int64_t work_us = 0;
  std::int64_t cold_ms = 0;
  options::options_description description("Options");
  description.add_options()("help,h", "print this help and exit")(
      "address", options::value(&address)->default_value("127.0.0.1"),
      "IP number to listen on")("port", options::value(&port)->required(),
                                "port to listen on")(
      "slots", options::value(&behaviour.slots)->default_value(4),
      "requests worked on at a time")(
      "work-us", options::value(&work_us)->default_value(2000),
      "mean work for a request, in microseconds")(
      "slowness", options::value(&behaviour.slowness)->default_value(1),
      "multiplies all work")("cold-ms",
                             options::value(&cold_ms)->default_value(0),
                             "how long the server is slow after its start")(
      "answer-bytes",
      options::value(&behaviour.answer_bytes)->default_value(200),
      "length of an answer")("ignore-tokens", "accept work whoever sends it");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") != 0) {
      std::cout << description;
      return kExitOk;
    }
    options::notify(values);
    behaviour.work = std::chrono::microseconds(work_us);
    behaviour.cold = std::chrono::milliseconds(cold_ms);
    behaviour.checks_tokens = values.count("ignore-tokens") == 0;
    std::random_device device;
    ServerHandler handler(behaviour, (std::uint64_t{device()} << 16) | 1);
    FiberLoop loop;
    HttpServer::Options server_options;
    server_options.address = address;
    server_options.port = port;
    HttpServer server(server_options, handler);
    StopSignal stop(loop, [&] {
      server.StopAccepting();
      loop.Stop();
    });
    server.Listen(loop);
    loop.Run();
    return kExitOk;
  } catch (const options::error& error) {
    std::cerr << "currantbeam-standin-server: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "currantbeam-standin-server: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
