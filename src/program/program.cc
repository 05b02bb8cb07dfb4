#include "program/program.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <utility>

namespace currantbeam {

namespace options = boost::program_options;

auto ReadCommandLine(int argc, const char* const* argv,
                     const std::string& program, const std::string& summary,
                     CommandLine& command_line) -> int {
  options::options_description description("Options");
  description.add_options()("help,h", "print this help and exit")(
      "version,V", "print the version and exit")(
      "settings,s", options::value<std::string>(&command_line.settings_path),
      "the TOML file with this program's settings")(
      "check-settings", options::bool_switch(&command_line.check_settings),
      "check the settings and exit");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") != 0) {
      std::cout << program << ": " << summary << "\n\nUsage: " << program
                << " --settings FILE\n\n"
                << description;
      return kExitOk;
    }
    if (values.count("version") != 0) {
      std::cout << program << " " << kVersion << "\n";
      return kExitOk;
    }
  } catch (const options::error& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return kExitUsage;
  }
  if (command_line.settings_path.empty()) {
    std::cerr << program << ": --settings FILE is missing\n";
    return kExitUsage;
  }
  return kContinue;
}

struct StopSignal::Signals {
  explicit Signals(FiberLoop& loop) : set(loop.Io(), SIGTERM, SIGINT) {}
  boost::asio::signal_set set;
};

StopSignal::StopSignal(FiberLoop& loop, std::function<void()> on_stop)
    : signals(std::make_unique<Signals>(loop)) {
  std::signal(SIGPIPE, SIG_IGN);
  this->signals->set.async_wait(
      [&loop, on_stop = std::move(on_stop)](
          const boost::system::error_code& error, int) {
        if (!error) loop.Spawn(on_stop);
      });
}

StopSignal::~StopSignal() = default;

struct ReloadSignal::Signals {
  explicit Signals(FiberLoop& loop) : set(loop.Io(), SIGHUP) {}
  boost::asio::signal_set set;
};

ReloadSignal::ReloadSignal(FiberLoop& loop, std::function<void()> on_reload)
    : loop(loop),
      on_reload(std::move(on_reload)),
      signals(std::make_unique<Signals>(loop)) {
  this->Await();
}

ReloadSignal::~ReloadSignal() = default;

auto ReloadSignal::Await() -> void {
  this->signals->set.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (error) return;
        this->loop.Spawn(this->on_reload);
        this->Await();
      });
}

}  // namespace currantbeam
