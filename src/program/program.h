#pragma once

/// @file
/// Public header of the program library: command line and signal handling for
/// the programs' main functions.

#include <functional>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// The options given on the command line.
struct CommandLine {
  std::string settings_path;
  bool check_settings = false;
};

/// Reads --settings FILE, --check-settings, --help and --version.
/// @param command_line  receives the options.
/// @return the exit code if the program must exit at once, after --help,
/// --version or a usage error, which are printed here; else kContinue.
auto ReadCommandLine(int argc, const char* const* argv,
                     const std::string& program, const std::string& summary,
                     CommandLine& command_line) -> int;

constexpr int kContinue = -1;  ///< From ReadCommandLine(): don't exit.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kVersion = "0.1.0";

/// Calls `on_reload` in a new fiber of the loop on each SIGHUP.
class ReloadSignal {
 public:
  ReloadSignal(FiberLoop& loop, std::function<void()> on_reload);
  ~ReloadSignal();

 private:
  struct Signals;
  auto Await() -> void;

  FiberLoop& loop;
  std::function<void()> on_reload;
  std::unique_ptr<Signals> signals;
};

/// Calls `on_stop` in a new fiber of the loop on the first SIGTERM or SIGINT.
/// Also makes the process ignore SIGPIPE.
class StopSignal {
 public:
  StopSignal(FiberLoop& loop, std::function<void()> on_stop);
  ~StopSignal();

 private:
  struct Signals;
  std::unique_ptr<Signals> signals;
};

}  // namespace currantbeam
