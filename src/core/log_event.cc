#include "core/log_event.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/clock.h"
#include "core/error.h"
#include "core/events.h"
#include "core/json_text.h"
#include "core/log_budget.h"
#include "core/log_output.h"

namespace currantbeam {
namespace {

constexpr auto kDropReportInterval = std::chrono::seconds(1);

auto ToJsonString(std::string_view text) -> std::string {
  // Input from other processes may be invalid UTF-8; the output is ASCII.
  return ToAsciiJsonText(nlohmann::json(text));
}

/// @return the current UTC time in ISO 8601, with milliseconds.
auto FormatNow() -> std::string {
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  std::tm parts{};
  ::gmtime_r(&now.tv_sec, &parts);
  std::array<char, 32> text{};
  const auto length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length, text.size() - length, ".%03ldZ",
                now.tv_nsec / 1'000'000);
  return text.data();
}

auto LevelName(LogLevel level) -> std::string_view {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

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

/// The log4cxx appender that passes formatted lines to a LogOutput.
class OutputAppender : public log4cxx::AppenderSkeleton {
 public:
  auto append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& /*pool*/) -> void override {
    std::string line;
    log4cxx::helpers::Transcoder::encode(event->getRenderedMessage(), line);
    line += '\n';
    if (!this->output.Add(line)) ++this->unwritten;
  }
  auto close() -> void override {}
  [[nodiscard]] auto requiresLayout() const -> bool override { return false; }

  auto Flush() -> void { this->output.Flush(); }
  /// @return the number of lines that LogOutput rejected since the last call.
  auto TakeUnwrittenCount() -> std::uint64_t {
    return std::exchange(this->unwritten, 0);
  }

 private:
  LogOutput output{STDOUT_FILENO};
  std::uint64_t unwritten = 0;
};

/// The process's log: applies the budget, formats lines and flushes the output.
/// Thread-safe.
class LogStream {
 public:
  auto Start(const std::string& program, const std::string& host,
             std::chrono::milliseconds flush_interval) -> void {
    const std::lock_guard lock(this->mutex);
    this->prefix = R"(,"program":)" + ToJsonString(program) + R"(,"host":)" +
                   ToJsonString(host);
    this->flush_interval = flush_interval;
    log4cxx::BasicConfigurator::configure(this->appender);
  }

  template <typename Fields>
  auto Write(const LogEvent& event, const Fields& fields) -> void {
    const std::lock_guard lock(this->mutex);
    const auto now = this->clock.Now();
    if (!this->budget.Admit(event, now)) return;
    this->Add(event, fields);
    this->ReportDropped(now);
    if (now - this->flushed_at < this->flush_interval) return;
    this->flushed_at = now;
    this->appender->Flush();
  }

  auto Flush() -> void {
    const std::lock_guard lock(this->mutex);
    this->flushed_at = this->clock.Now();
    this->ReportDropped(this->flushed_at);
    this->appender->Flush();
  }

  [[nodiscard]] auto Dropped() -> std::uint64_t {
    const std::lock_guard lock(this->mutex);
    return this->dropped;
  }

 private:
  template <typename Fields>
  auto Add(const LogEvent& event, const Fields& fields) -> void {
    std::string line = R"({"time":")" + FormatNow() + R"(","level":")";
    line += LevelName(event.level);
    line += '"';
    line += this->prefix;
    LogField("event", event.number).AppendTo(line += ',');
    LogField("name", event.name).AppendTo(line += ',');
    for (const auto& field : fields) field.AppendTo(line += ',');
    line += '}';
    this->budget.ChargeBytes(line.size());
    Logger()->forcedLog(ToLog4cxx(event.level), line);
  }

  /// Logs the number of dropped lines, at most once per kDropReportInterval.
  auto ReportDropped(TimePoint now) -> void {
    if (now - this->drop_reported_at < kDropReportInterval) return;
    this->drop_reported_at = now;
    const auto over_budget = this->budget.TakeDroppedCount();
    const auto unwritten = this->appender->TakeUnwrittenCount();
    if (over_budget + unwritten == 0) return;
    this->dropped += over_budget + unwritten;
    const std::array<LogField, 2> fields = {
        LogField("over_budget", over_budget), LogField("no_reader", unwritten)};
    this->Add(events::kLogDropped, fields);
  }

  /// Guards all members. No other lock is acquired while it is held.
  std::mutex mutex;
  SteadyClock clock;
  LogBudget budget{LogBudget::Options(), this->clock.Now()};
  std::shared_ptr<OutputAppender> appender = std::make_shared<OutputAppender>();
  std::string prefix;
  std::chrono::milliseconds flush_interval{0};
  TimePoint flushed_at{};
  TimePoint drop_reported_at{};
  std::uint64_t dropped = 0;
};

auto Stream() -> LogStream& {
  static LogStream stream;
  return stream;
}

auto ParseLevel(const std::string& level) -> LogLevel {
  if (level == "debug") return LogLevel::kDebug;
  if (level == "info") return LogLevel::kInfo;
  if (level == "warn") return LogLevel::kWarn;
  if (level == "error") return LogLevel::kError;
  throw InputError("log level '" + level +
                   "' must be debug, info, warn or error");
}

}  // namespace

auto LogField::AppendTo(std::string& line) const -> void {
  line += '"';
  line += this->name;
  line += "\":";
  if (const auto* text = std::get_if<std::string_view>(&this->value)) {
    line += ToJsonString(*text);
  } else if (const auto* integer = std::get_if<std::int64_t>(&this->value)) {
    line += std::to_string(*integer);
  } else if (const auto* boolean = std::get_if<bool>(&this->value)) {
    line += *boolean ? "true" : "false";
  } else {
    line += ToAsciiJsonText(std::get<double>(this->value));
  }
}

auto InitLogging(const std::string& program, const std::string& host,
                 const std::string& level,
                 std::chrono::milliseconds flush_interval) -> void {
  Logger()->setLevel(ToLog4cxx(ParseLevel(level)));
  Stream().Start(program, host, flush_interval);
}

auto IsLogged(const LogEvent& event) -> bool {
  return Logger()->isEnabledFor(ToLog4cxx(event.level));
}

auto Log(const LogEvent& event, std::initializer_list<LogField> fields)
    -> void {
  if (IsLogged(event)) Stream().Write(event, fields);
}

auto Log(const LogEvent& event, const std::vector<LogField>& fields) -> void {
  if (IsLogged(event)) Stream().Write(event, fields);
}

auto FlushLog() -> void { Stream().Flush(); }

auto DroppedLogLines() -> std::uint64_t { return Stream().Dropped(); }

}  // namespace currantbeam
