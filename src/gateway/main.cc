#include <atomic>
#include <iostream>

#include "core/events.h"
#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_control.h"
#include "gateway/gateway_state.h"
#include "gateway/request_handlers.h"
#include "program/program.h"

namespace currantbeam {
namespace {

auto ServerOptions(const GatewaySettings& settings, std::uint16_t port)
    -> HttpServer::Options {
  HttpServer::Options options;
  options.address = settings.address;
  options.port = port;
  return options;
}

/// One gateway process.
class Gateway {
 public:
  explicit Gateway(const GatewaySettings& settings)
      : state(settings, LeaseTiming(), this->clock),
        driver(this->state, this->client),
        control(this->control_loop, this->state, this->driver, this->client),
        caller_handler(this->state, this->driver),
        hop_handler(this->state, this->driver),
        status_handler(this->state),
        callers(ServerOptions(settings, settings.callers_port),
                this->caller_handler),
        hops(ServerOptions(settings, settings.hop_port), this->hop_handler),
        status(ServerOptions(settings, settings.status_port),
               this->status_handler),
        workers(settings.workers),
        stop_signal(this->control_loop, [this] { this->Drain(); }) {}

  auto Run() -> void {
    for (std::size_t i = 0; i < this->workers.Size(); ++i) {
      this->callers.Listen(this->workers.Loop(i));
      this->hops.Listen(this->workers.Loop(i));
      this->workers.Loop(i).Spawn([this] { this->WatchCalls(); });
    }
    this->status.Listen(this->control_loop);
    this->control.Start();
    Log(events::kProcessStarted,
        {{"version", kVersion},
         {"domain", this->state.Settings().domain.Value()}});
    this->control_loop.Run();
    this->workers.Stop();
    Log(events::kProcessStopped);
  }

 private:
  auto Drain() -> void {
    const auto limit = this->state.Settings().drain_timeout;
    Log(events::kProcessDraining, {{"limit_ms", limit.count()}});
    this->state.SetDraining();
    this->callers.StopAccepting();
    auto left = this->callers.Drain(limit);
    // Peers keep sending until a placer has given the servers to others, so
    // this port stays open while the drives are handed over.
    for (int i = 0; i < kHandoverPolls && this->IsDriving(); ++i) {
      SleepFor(kHandoverPoll);
    }
    SleepFor(kHandoverPoll);
    this->hops.StopAccepting();
    left += this->hops.Drain(limit);
    if (left != 0) {
      Log(events::kDrainCutShort, {{"in_hand", left}});
    }
    this->stopped = true;
    this->control.Stop();
    this->control_loop.Stop();
  }

  auto WatchCalls() -> void {
    while (!this->stopped) {
      SleepFor(CancelOnPeerLoss::kCheckInterval);
      CancelOnPeerLoss::CheckAll();
    }
  }

  auto IsDriving() -> bool {
    return this->state.WithAgent(
        [](GatewayAgent& agent) { return !agent.Drives().Reports().empty(); });
  }

  static constexpr auto kHandoverPoll = std::chrono::milliseconds(20);
  static constexpr int kHandoverPolls = 100;

  std::atomic<bool> stopped{false};
  SteadyClock clock;
  FiberLoop control_loop;
  HttpBackendClient client;
  GatewayState state;
  Driver driver;
  GatewayControl control;
  CallerHandler caller_handler;
  HopHandler hop_handler;
  StatusHandler status_handler;
  HttpServer callers;
  HttpServer hops;
  HttpServer status;
  WorkerPool workers;
  StopSignal stop_signal;
};

auto Main(int argc, char** argv) -> int {
  CommandLine command_line;
  const auto code = ReadCommandLine(
      argc, argv, "currantbeam-gateway",
      "passes callers' requests to the servers that own their keys",
      command_line);
  if (code != kContinue) return code;
  try {
    const auto settings = GatewaySettings::FromFile(command_line.settings_path);
    if (command_line.check_settings) {
      std::cout << command_line.settings_path << ": good\n";
      return kExitOk;
    }
    InitLogging("gateway", settings.host.Value(), settings.log_level);
    Gateway(settings).Run();
    return kExitOk;
  } catch (const Error& error) {
    std::cerr << "currantbeam-gateway: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
