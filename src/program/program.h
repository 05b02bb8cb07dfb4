#pragma once

/// @file
/// Public header of the library that the programs' main functions share.

#include <functional>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace currantbeam {

/// What a program was asked to do on its command line.
struct CommandLine {
  std::string settings_path;
  bool check_settings = false;
};

/// Reads --settings FILE, --check-settings, --help and --version.
/// @return the exit code, if the program is to end at once.
auto ReadCommandLine(int argc, const char* const* argv,
                     const std::string& program, const std::string& summary,
                     CommandLine& command_line) -> int;

constexpr int kContinue = -1;  ///< ReadCommandLine: go on.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kVersion = "0.1.0";

/// Calls `on_reload` on the loop, in a fiber, at each SIGHUP.
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

/// Calls `on_stop` on the loop, in a fiber, at the first SIGTERM or SIGINT.
class StopSignal {
 public:
  StopSignal(FiberLoop& loop, std::function<void()> on_stop);
  ~StopSignal();

 private:
  struct Signals;
  std::unique_ptr<Signals> signals;
};

}  // namespace currantbeam
