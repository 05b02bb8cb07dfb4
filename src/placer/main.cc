#include <iostream>

#include "core/events.h"
#include "operators/operators.h"
#include "placer/placer_process.h"
#include "program/program.h"

namespace currantbeam {
namespace {

/// The placer program: a PlacerProcess, its platform client and the operators'
/// HTTP port, all on one loop.
class PlacerProgram {
 public:
  explicit PlacerProgram(const PlacerSettings& settings)
      : platform(settings.platform.address, settings.platform.port,
                 settings.platform.timeout),
        process(this->loop, settings, this->platform, LeaseTiming(),
                this->clock),
        operator_handler(this->process, this->clock),
        operator_server(Options(settings), this->operator_handler),
        stop_signal(this->loop, [this] { this->Stop(); }) {}

  auto Run() -> void {
    this->operator_server.Listen(this->loop);
    this->process.Start();
    Log(events::kProcessStarted, {{"version", kVersion}});
    this->loop.Run();
    Log(events::kProcessStopped);
  }

 private:
  static auto Options(const PlacerSettings& settings) -> HttpServer::Options {
    HttpServer::Options options;
    options.address = settings.address;
    options.port = settings.operators_port;
    return options;
  }

  auto Stop() -> void {
    Log(events::kProcessDraining);
    TryStep("stop", [this] {
      this->operator_server.StopAccepting();
      this->operator_server.Drain(kDrainTimeout);
      this->process.Stop();
    });
    this->loop.Stop();
  }

  static constexpr auto kDrainTimeout = std::chrono::milliseconds(2000);

  SteadyClock clock;
  FiberLoop loop;
  HttpPlatform platform;
  PlacerProcess process;
  OperatorHandler operator_handler;
  HttpServer operator_server;
  StopSignal stop_signal;
};

auto Main(int argc, char** argv) -> int {
  CommandLine command_line;
  const auto code = ReadCommandLine(
      argc, argv, "currantbeam-placer",
      "places keys on backend servers within one failure domain", command_line);
  if (code != kContinue) return code;
  try {
    const auto settings = PlacerSettings::FromFile(command_line.settings_path);
    if (command_line.check_settings) {
      std::cout << command_line.settings_path << ": good\n";
      return kExitOk;
    }
    InitLogging("placer", settings.host.Value(), settings.log_level);
    PlacerProgram(settings).Run();
    return kExitOk;
  } catch (const Error& error) {
    std::cerr << "currantbeam-placer: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
