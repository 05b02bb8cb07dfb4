#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace currantbeam {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

/// The kind of a log line. Numbers are listed in docs/EVENTS.md and never
/// reused.
struct LogEvent {
  int number;
  LogLevel level;
  std::string_view name;
};

/// A named value of a log line. Doesn't own its strings, so it must not outlive
/// the expression that creates it.
class LogField {
 public:
  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  /// For numbers and booleans.
  template <typename Number,
            std::enable_if_t<std::is_arithmetic_v<Number>, bool> = true>
  LogField(std::string_view name, Number number)
      : name(name), value(static_cast<Stored<Number>>(number)) {}

  /// Appends `"name":value` as JSON.
  auto AppendTo(std::string& line) const -> void;

 private:
  template <typename Number>
  using Stored =
      std::conditional_t<std::is_same_v<Number, bool>, bool,
                         std::conditional_t<std::is_floating_point_v<Number>,
                                            double, std::int64_t>>;

  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/// Starts logging to standard output.
/// @param program  the program's name, repeated on each line.
/// @param host     the host id from the settings, repeated on each line.
/// @param level    the minimum level that is written: debug, info, warn, error.
/// @param flush_interval  how long lines may be buffered; unless it is 0,
///   FlushLog() has to be called at about this interval.
/// @throws InputError if the level is unknown.
auto InitLogging(const std::string& program, const std::string& host,
                 const std::string& level,
                 std::chrono::milliseconds flush_interval =
                     std::chrono::milliseconds(0)) -> void;

/// Writes one line, a JSON object: time, level, program, host, the event's
/// number and name, then the fields. Never blocks: lines that exceed the
/// LogBudget or that standard output has no room for are dropped, and a later
/// log-dropped line reports their number.
auto Log(const LogEvent& event, std::initializer_list<LogField> fields = {})
    -> void;
auto Log(const LogEvent& event, const std::vector<LogField>& fields) -> void;

/// Writes the buffered lines, as far as standard output accepts them without
/// blocking.
auto FlushLog() -> void;

/// @return whether the event's level is enabled.
auto IsLogged(const LogEvent& event) -> bool;

/// @return the number of lines reported as dropped since the process started.
auto DroppedLogLines() -> std::uint64_t;

}  // namespace currantbeam
