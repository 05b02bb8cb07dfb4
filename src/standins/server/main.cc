#include <random>

#include "standins/server/server_handler.h"
#include "standins/standin_program.h"

namespace currantbeam {
namespace {

auto Main(int argc, char** argv) -> int {
  namespace options = boost::program_options;
  StandinAddress address;
  ServerBehaviour behaviour;
  std::int64_t work_us = 0;
  std::int64_t cold_ms = 0;
  bool ignores_tokens = false;
  options::options_description description("Options");
  address.AddOptions(description);
  auto add = description.add_options();
  add("slots", options::value(&behaviour.slots)->default_value(4),
      "number of requests that run at the same time");
  add("work-us", options::value(&work_us)->default_value(2000),
      "mean work per request, in microseconds");
  add("slowness", options::value(&behaviour.slowness)->default_value(1),
      "factor applied to the work of every request");
  add("cold-ms", options::value(&cold_ms)->default_value(0),
      "time after the start during which the server is slow, in milliseconds");
  add("answer-bytes",
      options::value(&behaviour.answer_bytes)->default_value(200),
      "length of a response body, in bytes");
  add("ignore-tokens", options::bool_switch(&ignores_tokens),
      "run requests without checking their fencing tokens");
  return RunStandin(argc, argv, "currantbeam-standin-server", description, [&] {
    behaviour.work = std::chrono::microseconds(work_us);
    behaviour.cold = std::chrono::milliseconds(cold_ms);
    behaviour.checks_tokens = !ignores_tokens;
    std::random_device device;
    ServerHandler handler(behaviour, (std::uint64_t{device()} << 16) | 1);
    ServeUntilStopped(address, handler);
  });
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
