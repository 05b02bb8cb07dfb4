#include "core/log_event.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

#include "core/error.h"

namespace currantbeam {
namespace {

auto Logger() -> const log4cxx::LoggerPtr& {
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("currantbeam");
  return logger;
}

auto ToLog4cxx(LogLevel level) -> log4cxx::LevelPtr {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

auto ParseLevel(const std::string& level) -> LogLevel {
  if (level == "debug") return LogLevel::kDebug;
  if (level == "info") return LogLevel::kInfo;
  if (level == "warn") return LogLevel::kWarn;
  if (level == "error") return LogLevel::kError;
  throw InputError("log level '" + level +
                   "' is none of debug, info, warn, error");
}

}  // namespace

auto InitLogging(const std::string& program, const std::string& host,
                 const std::string& level) -> void {
  const auto least = ToLog4cxx(ParseLevel(level));
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p " + program + " " + host + " %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(least);
}

auto IsLogged(const LogEvent& event) -> bool {
  return Logger()->isEnabledFor(ToLog4cxx(event.level));
}

auto Log(const LogEvent& event, const std::string& text) -> void {
  const auto level = ToLog4cxx(event.level);
  if (!Logger()->isEnabledFor(level)) return;
  Logger()->forcedLog(level, "E" + std::to_string(event.number) + " " +
                                 std::string(event.name) + " " + text);
}

}  // namespace currantbeam
