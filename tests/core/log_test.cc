#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

#include "core/core.h"
#include "core/events.h"
#include "core/log_budget.h"
#include "core/log_output.h"

namespace currantbeam {
namespace {

constexpr LogBudget::Options kTestOptions{10, 100'000, 4};

auto CountAdmitted(LogBudget& budget, const LogEvent& event, TimePoint now)
    -> int {
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) admitted += budget.Admit(event, now) ? 1 : 0;
  return admitted;
}

TEST(LogBudget, DropsSuccessfulRequestsFirstAndStateChangesLast) {
  ManualClock clock;
  LogBudget budget(kTestOptions, clock.Now());
  EXPECT_EQ(CountAdmitted(budget, events::kRouted, clock.Now()), 20);
  EXPECT_EQ(CountAdmitted(budget, events::kFailed, clock.Now()), 10);
  EXPECT_EQ(CountAdmitted(budget, events::kKeeperRole, clock.Now()), 10);
  EXPECT_EQ(budget.TakeDroppedCount(), 980U + 990U + 990U);
  EXPECT_EQ(budget.TakeDroppedCount(), 0U);
  clock.Advance(std::chrono::seconds(1));
  EXPECT_EQ(CountAdmitted(budget, events::kRouted, clock.Now()), 0);
  EXPECT_EQ(CountAdmitted(budget, events::kKeeperRole, clock.Now()), 10);
}

TEST(LogBudget, LimitsBytes) {
  ManualClock clock;
  LogBudget budget(kTestOptions, clock.Now());
  ASSERT_TRUE(budget.Admit(events::kKeeperRole, clock.Now()));
  budget.ChargeBytes(500'000);
  EXPECT_FALSE(budget.Admit(events::kKeeperRole, clock.Now()));
  clock.Advance(std::chrono::seconds(2));
  EXPECT_TRUE(budget.Admit(events::kKeeperRole, clock.Now()));
}

class Pipe {
 public:
  Pipe() {
    if (::pipe(this->descriptors.data()) != 0) throw Error("pipe() failed");
  }
  ~Pipe() {
    ::close(this->descriptors[0]);
    ::close(this->descriptors[1]);
  }
  Pipe(const Pipe&) = delete;
  auto operator=(const Pipe&) -> Pipe& = delete;

  [[nodiscard]] auto WriteDescriptor() const -> int {
    return this->descriptors[1];
  }
  auto CloseReadEnd() -> void {
    ::close(this->descriptors[0]);
    this->descriptors[0] = -1;
  }
  auto Read(std::size_t max_bytes) -> std::string {
    std::string text(max_bytes, '\0');
    const auto received = ::read(this->descriptors[0], text.data(), max_bytes);
    text.resize(received < 0 ? 0 : static_cast<std::size_t>(received));
    return text;
  }

 private:
  std::array<int, 2> descriptors{};
};

TEST(LogOutput, DropsLinesInsteadOfBlocking) {
  Pipe pipe;
  LogOutput output(pipe.WriteDescriptor());
  const std::string line(1000, 'x');
  int accepted = 0;
  // No one reads the pipe, so a blocking write would never return.
  for (int i = 0; i < 1000; ++i) {
    accepted += output.Add(line) ? 1 : 0;
    output.Flush();
  }
  EXPECT_GT(accepted, 100);
  EXPECT_LT(accepted, 1000);
  // Accepted lines arrive whole and in order once the pipe is read.
  std::size_t read = 0;
  while (read < static_cast<std::size_t>(accepted) * line.size()) {
    const auto text = pipe.Read(65536);
    ASSERT_EQ(text, std::string(text.size(), 'x'));
    read += text.size();
    output.Flush();
  }
  EXPECT_EQ(output.PendingBytes(), 0U);
}

TEST(LogOutput, SurvivesClosingOfTheReadEnd) {
  Pipe pipe;
  LogOutput output(pipe.WriteDescriptor());
  pipe.CloseReadEnd();
  // A write to the pipe would raise SIGPIPE.
  ASSERT_TRUE(output.Add("line\n"));
  output.Flush();
  EXPECT_EQ(output.PendingBytes(), 5U);
}

TEST(Log, WritesOneJsonObjectPerLine) {
  testing::internal::CaptureStdout();
  InitLogging("program", "host-1", "info");
  Log(events::kRefused, {{"request", "a\"b\xff\n"},
                         {"sends", 2},
                         {"limit", 0.5},
                         {"may_have_run", false}});
  Log(LogEvent{999, LogLevel::kDebug, "unseen"});
  FlushLog();
  std::istringstream lines(testing::internal::GetCapturedStdout());
  std::string line;
  ASSERT_TRUE(std::getline(lines, line));
  const auto json = nlohmann::json::parse(line);
  EXPECT_EQ(json.at("level"), "warn");
  EXPECT_EQ(json.at("program"), "program");
  EXPECT_EQ(json.at("host"), "host-1");
  EXPECT_EQ(json.at("event"), 301);
  EXPECT_EQ(json.at("name"), "refused");
  EXPECT_EQ(json.at("request"), "a\"b\xEF\xBF\xBD\n");
  EXPECT_EQ(json.at("sends"), 2);
  EXPECT_EQ(json.at("limit"), 0.5);
  EXPECT_EQ(json.at("may_have_run"), false);
  EXPECT_EQ(json.at("time").get<std::string>().size(), 24U);
  EXPECT_FALSE(std::getline(lines, line)) << line;
}

TEST(Log, RejectsAnUnknownLevel) {
  EXPECT_THROW(InitLogging("p", "h", "loud"), InputError);
}

}  // namespace
}  // namespace currantbeam
