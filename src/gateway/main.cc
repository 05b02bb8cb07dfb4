#include <atomic>
#include <iostream>

#include "core/events.h"
#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_control.h"
#include "gateway/gateway_shutdown.h"
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

/// A gateway process: the client, forwarding and status ports, the workers
/// that serve the first two, and the control loop.
class Gateway {
 public:
  explicit Gateway(const GatewaySettings& settings)
      : state(settings, LeaseTiming(), this->clock),
        dispatcher(this->state, this->client),
        control(this->control_loop, this->state, this->dispatcher,
                this->client),
        client_handler(this->state, this->dispatcher),
        forwarding_handler(this->state, this->dispatcher),
        status_handler(this->state),
        client_server(ServerOptions(settings, settings.callers_port),
                      this->client_handler),
        forwarding_server(ServerOptions(settings, settings.hop_port),
                          this->forwarding_handler),
        status_server(ServerOptions(settings, settings.status_port),
                      this->status_handler),
        workers(settings.workers),
        shutdown(this->state, this->dispatcher, this->client_server,
                 this->forwarding_server, this->workers),
        stop_signal(this->control_loop, [this] { this->Drain(); }) {}

  auto Run() -> void {
    for (std::size_t i = 0; i < this->workers.Size(); ++i) {
      this->client_server.Listen(this->workers.Loop(i));
      this->forwarding_server.Listen(this->workers.Loop(i));
      this->workers.Loop(i).Spawn([this] { this->CheckPeersLoop(); });
    }
    this->status_server.Listen(this->control_loop);
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
    TryStep("stop", [this] { this->shutdown.Run(); });
    this->stopped = true;
    this->control.Stop();
    this->control_loop.Stop();
  }

  auto CheckPeersLoop() -> void {
    while (!this->stopped) {
      SleepFor(CancelOnPeerLoss::kCheckInterval);
      CancelOnPeerLoss::CheckAll();
    }
  }

  std::atomic<bool> stopped{false};
  SteadyClock clock;
  FiberLoop control_loop;
  HttpBackendClient client;
  GatewayState state;
  BackendDispatcher dispatcher;
  GatewayControl control;
  ClientRequestHandler client_handler;
  ForwardedRequestHandler forwarding_handler;
  StatusHandler status_handler;
  HttpServer client_server;
  HttpServer forwarding_server;
  HttpServer status_server;
  WorkerPool workers;
  GatewayShutdown shutdown;
  StopSignal stop_signal;
};

auto Main(int argc, char** argv) -> int {
  CommandLine command_line;
  const auto code = ReadCommandLine(
      argc, argv, "currantbeam-gateway",
      "routes client requests to the backend servers that own their keys",
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
