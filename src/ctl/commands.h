#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/command_client.h"

namespace currantbeam {

/// Exit codes of currantbeamctl.
enum ExitCode {
  kDone = 0,
  kFailed = 1,      ///< Refused, or no placer answered.
  kUsage = 2,       ///< The command line or a file is wrong.
  kConflict = 3,    ///< Someone else has changed the configuration.
  kNotInForce = 4,  ///< Stored, but not in force everywhere yet.
};

/// What the command line says besides the command.
struct CommandOptions {
  bool json = false;
  std::string author;
  std::uint64_t base_version = 0;
  bool has_base_version = false;
  std::chrono::milliseconds wait{4000};
};

/// Runs operators' commands and prints what comes of them.
class Commands {
 public:
  Commands(CommandClient& client, CommandOptions options, std::ostream& out)
      : client(client), options(std::move(options)), out(out) {}

  /// @param words  the command and its arguments.
  /// @throws InputError if they are not a command.
  auto Run(const std::vector<std::string>& words) -> ExitCode;

  /// @return the commands, a line each.
  static auto Help() -> std::string;

 private:
  auto Status() -> ExitCode;
  auto Explain(const std::string& service, const std::string& key) -> ExitCode;
  auto ShowConfig() -> ExitCode;
  auto Validate(const std::string& path) -> ExitCode;
  auto Diff(const std::string& path) -> ExitCode;
  auto Apply(const std::string& path) -> ExitCode;
  auto History() -> ExitCode;
  auto Mark(const std::string& mark, const std::string& id) -> ExitCode;
  auto Settlement() -> ExitCode;
  auto Finish(const CommandAnswer& answer) -> ExitCode;
  auto WaitInForce(std::uint64_t version) -> ExitCode;
  auto CheckAnswer(const CommandAnswer& answer) -> bool;

  CommandClient& client;
  CommandOptions options;
  std::ostream& out;
};

}  // namespace currantbeam
