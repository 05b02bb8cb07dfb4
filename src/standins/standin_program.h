#pragma once

#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "http/http.h"

namespace currantbeam {

/// Reads a stand-in's command line, and runs it.
/// @param run  called once the options have their values.
/// @return the program's exit code.
auto RunStandin(int argc, const char* const* argv, const std::string& program,
                boost::program_options::options_description& description,
                const std::function<void()>& run) -> int;

/// Where a stand-in listens.
struct StandinAddress {
  std::string address;
  std::uint16_t port = 0;

  /// Adds the options that set it.
  auto Describe(boost::program_options::options_description& description)
      -> void;
};

/// Serves until the process is told to stop.
/// @param body_bytes  the largest body that is taken.
/// @param beside  runs in a fiber of its own; may be empty.
auto ServeUntilStopped(const StandinAddress& address, HttpHandler& handler,
                       std::uint64_t body_bytes = HttpLimits().body_bytes,
                       const std::function<void()>& beside = {}) -> void;

}  // namespace currantbeam
