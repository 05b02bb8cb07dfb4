#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "http/http.h"

namespace currantbeam {

/// Parses a stand-in's command line and runs the stand-in. Prints the options
/// for --help, and errors to the standard error output.
/// @param run  called after the parsed values are stored in the options.
/// @return the program's exit code.
auto RunStandin(int argc, const char* const* argv, const std::string& program,
                boost::program_options::options_description& description,
                const std::function<void()>& run) -> int;

/// The address and port that a stand-in listens on.
struct StandinAddress {
  std::string address;
  std::uint16_t port = 0;

  /// Adds the options --address and --port, which set the fields.
  auto AddOptions(boost::program_options::options_description& description)
      -> void;
};

/// Serves HTTP on one loop until the process receives a stop signal.
/// @param body_bytes  the largest request body that is accepted.
/// @param background_task  runs in its own fiber next to the server; may be
///   empty.
auto ServeUntilStopped(const StandinAddress& address, HttpHandler& handler,
                       std::uint64_t body_bytes = HttpLimits().body_bytes,
                       const std::function<void()>& background_task = {})
    -> void;

}  // namespace currantbeam
