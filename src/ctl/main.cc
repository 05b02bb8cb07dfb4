#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "ctl/commands.h"
#include "program/program.h"

namespace currantbeam {
namespace {

namespace options = boost::program_options;

/// The parsed command line.
struct Invocation {
  std::vector<std::string> placers;
  std::vector<std::string> args;
  CommandOptions options;
  bool should_exit = false;
};

auto Parse(int argc, char** argv) -> Invocation {
  Invocation invocation;
  std::int64_t wait_ms = 0;
  const auto* user = std::getenv("USER");
  options::options_description visible("Options");
  visible.add_options()("help,h", "print this help and exit")(
      "version,V", "print the version and exit")(
      "placer,p", options::value(&invocation.placers)->composing(),
      "ADDRESS:PORT of a placer's operators' port; may be repeated")(
      "json", options::bool_switch(&invocation.options.json),
      "print the answer as JSON")(
      "author",
      options::value(&invocation.options.author)
          ->default_value(user == nullptr ? "unknown" : user),
      "who makes the change")("base",
                              options::value(&invocation.options.base_version),
                              "the version that the change was made from")(
      "wait-ms", options::value(&wait_ms)->default_value(4000),
      "how long to wait until a change is in force");
  options::options_description all;
  all.add(visible).add_options()("words", options::value(&invocation.args));
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map values;
  options::store(options::command_line_parser(argc, argv)
                     .options(all)
                     .positional(positional)
                     .run(),
                 values);
  options::notify(values);
  if (values.count("help") != 0) {
    std::cout << "Usage: currantbeamctl [OPTIONS] COMMAND\n\n"
              << Commands::Help() << "\n"
              << visible;
    invocation.should_exit = true;
  }
  if (values.count("version") != 0) {
    std::cout << "currantbeamctl " << kVersion << "\n";
    invocation.should_exit = true;
  }
  invocation.options.has_base_version = values.count("base") != 0;
  invocation.options.wait = std::chrono::milliseconds(wait_ms);
  return invocation;
}

auto RunCommand(const Invocation& invocation) -> int {
  int code = kFailure;
  FiberLoop loop;
  loop.Spawn([&] {
    try {
      CommandClient client(invocation.placers);
      code =
          Commands(client, invocation.options, std::cout).Run(invocation.args);
    } catch (const InputError& error) {
      std::cerr << "currantbeamctl: " << error.what() << "\n";
      code = kUsage;
    } catch (const std::exception& error) {
      std::cerr << "currantbeamctl: " << error.what() << "\n";
      code = kFailure;
    }
    loop.Stop();
  });
  loop.Run();
  return code;
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  try {
    const auto invocation = currantbeam::Parse(argc, argv);
    if (invocation.should_exit) return currantbeam::kSuccess;
    return currantbeam::RunCommand(invocation);
  } catch (const boost::program_options::error& error) {
    std::cerr << "currantbeamctl: " << error.what() << "\n";
    return currantbeam::kUsage;
  }
}
