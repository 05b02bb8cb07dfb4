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

/// A numbered log event. Numbers are listed in docs/EVENTS.md and never reused.
struct LogEvent {
  int number;
  LogLevel level;
  std::string_view name;
};

/// One named value of a log line. Refers to texts; use within one expression.
class LogField {
 public:
  LogField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  /// Numbers and truth values.
  template <typename Number,
            std::enable_if_t<std::is_arithmetic_v<Number>, bool> = true>
  LogField(std::string_view name, Number number)
      : name(name), value(static_cast<Stored<Number>>(number)) {}

  /// Appends `"name":value` in JSON.
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
/// @param level    the least level that is written: debug, info, warn, error.
/// @param delay    how long lines may be held back to be written together;
///   then FlushLog() has to be called about as often.
/// @throws InputError if the level is unknown.
auto InitLogging(const std::string& program, const std::string& host,
                 const std::string& level,
                 std::chrono::milliseconds delay = std::chrono::milliseconds(0))
    -> void;

/// Writes one line, a JSON object: time, level, program, host, the event's
/// number and name, then the fields. Never waits: what is over the budget of
/// lines or finds no room in standard output is dropped, counted, and said in a
/// later line.
auto Log(const LogEvent& event, std::initializer_list<LogField> fields = {})
    -> void;
auto Log(const LogEvent& event, const std::vector<LogField>& fields) -> void;

/// Writes what was held back.
auto FlushLog() -> void;

/// @return whether a line for the event would be written at all.
auto IsLogged(const LogEvent& event) -> bool;

/// @return lines that were dropped since the process started.
auto DroppedLogLines() -> std::uint64_t;

}  // namespace currantbeam
