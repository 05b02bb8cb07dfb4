#pragma once

#include <chrono>
#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/command_client.h"

namespace currantbeam {

/// Exit codes of currantbeamctl.
enum ExitCode {
  kSuccess = 0,
  kFailure = 1,     ///< Rejected, or no placer responded.
  kUsage = 2,       ///< The command line or a file is invalid.
  kConflict = 3,    ///< The configuration was changed concurrently.
  kNotInForce = 4,  ///< Stored, but not in force everywhere yet.
};

/// The options of the command line that apply to commands.
struct CommandOptions {
  bool json = false;
  std::string author;
  std::uint64_t base_version = 0;
  bool has_base_version = false;
  std::chrono::milliseconds wait{4000};
};

/// Runs operators' commands through a CommandClient and prints the results.
class Commands {
 public:
  Commands(CommandClient& client, CommandOptions options, std::ostream& out)
      : client(client), options(std::move(options)), out(out) {}

  /// @param words  the command and its arguments.
  /// @return the exit code of the program.
  /// @throws InputError if the arguments are not a command.
  auto Run(const std::vector<std::string>& args) -> ExitCode;

  /// @return the help text: the commands, one per line, and the exit codes.
  static auto Help() -> std::string;

 private:
  auto Status() -> ExitCode;
  auto Explain(const std::string& service, const std::string& key) -> ExitCode;
  auto ShowConfig() -> ExitCode;
  auto Validate(const std::string& path) -> ExitCode;
  auto Diff(const std::string& path) -> ExitCode;
  auto Apply(const std::string& path) -> ExitCode;
  auto History() -> ExitCode;
  auto MarkHost(const std::string& mark, const std::string& id) -> ExitCode;
  auto Settlement() -> ExitCode;
  /// Prints the result of a change; after an accepted one, waits until the
  /// version is in force.
  auto ReportChange(const CommandResponse& response) -> ExitCode;
  /// Polls until each failure domain has the version in force.
  /// @return kSuccess, or kNotInForce after the wait of the options.
  auto WaitUntilInForce(std::uint64_t version) -> ExitCode;
  /// Prints the response as JSON if the options ask for it, else the error of
  /// a failed command.
  /// @return true if the status is 200.
  auto CheckResponse(const CommandResponse& response) -> bool;

  CommandClient& client;
  CommandOptions options;
  std::ostream& out;
};

}  // namespace currantbeam
