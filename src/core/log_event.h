#pragma once

#include <string>
#include <string_view>

namespace currantbeam {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// A numbered log event. Numbers are listed in docs/EVENTS.md and never reused.
struct LogEvent {
  int number;
  LogLevel level;
  std::string_view name;
};

/// Starts logging to standard output.
/// @param program  the program's name, repeated on each line.
/// @param host     the host id from the settings, repeated on each line.
/// @param level    the least level that is written: debug, info, warn, error.
/// @throws InputError if the level is unknown.
auto InitLogging(const std::string& program, const std::string& host,
                 const std::string& level) -> void;

/// Writes one line: event number, event name, then `text`.
/// @param text  fields as `name=value`, separated by spaces.
auto Log(const LogEvent& event, const std::string& text) -> void;

/// @return whether a line for the event would be written at all.
auto IsLogged(const LogEvent& event) -> bool;

}  // namespace currantbeam
