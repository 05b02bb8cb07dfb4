#include "gateway/response_relay.h"

#include <gtest/gtest.h>

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

class FakeClock : public Clock {
 public:
  [[nodiscard]] auto Now() const -> TimePoint override { return this->now; }
  TimePoint now{std::chrono::hours(1)};
};

/// A response of which more bytes are always there; each part takes 1 ms.
class EndlessSource : public ResponseReader {
 public:
  EndlessSource(FakeClock& clock, std::optional<std::uint64_t> length)
      : clock(clock), length(length) {}

  [[nodiscard]] auto Head() const -> const http::response_header<>& override {
    return this->head;
  }
  [[nodiscard]] auto BodyLength() const
      -> std::optional<std::uint64_t> override {
    return this->length;
  }
  auto ReadBody(milliseconds timeout) -> std::string_view override {
    if (timeout <= milliseconds(0) || this->parts == kMaxParts) {
      throw RequestError(Verdict::kMayHaveRun, "timed out");
    }
    ++this->parts;
    this->clock.now += milliseconds(1);
    return "x";
  }

  static constexpr int kMaxParts = 1'000'000;
  int parts = 0;

 private:
  FakeClock& clock;
  std::optional<std::uint64_t> length;
  http::response_header<> head;
};

class DiscardingExchange : public HttpExchange {
 public:
  [[nodiscard]] auto Request() const -> const HttpRequest& override {
    return this->request;
  }
  auto Send(HttpResponse /*response*/) -> void override {}
  auto StartBody(const http::response_header<>& /*head*/,
                 std::optional<std::uint64_t> /*length*/) -> void override {}
  auto SendBody(std::string_view /*data*/) -> void override {}
  auto FinishBody() -> void override {}
  auto Abort() -> void override {}
  [[nodiscard]] auto HasStarted() const -> bool override { return false; }
  [[nodiscard]] auto IsClientDisconnected() const -> bool override {
    return false;
  }
  auto SetDisconnectCallback(std::function<void()> /*on_disconnect*/)
      -> void override {}

 private:
  HttpRequest request;
};

class EndlessRelay
    : public testing::TestWithParam<std::optional<std::uint64_t>> {};

// With a time limit for each part, a response that drips never ended.
TEST_P(EndlessRelay, EndsAfterTheDeadlineOfItsRequest) {
  FakeClock clock;
  DiscardingExchange exchange;
  EndlessSource source(clock, GetParam());
  const auto deadline = clock.now + milliseconds(500);
  ResponseRelay relay(exchange, clock, deadline);
  EXPECT_THROW(relay.Run(source, {}), RequestError);
  EXPECT_LT(source.parts, EndlessSource::kMaxParts);
  EXPECT_EQ(clock.now, deadline + ResponseRelay::kMaxTimeAfterDeadline);
}

INSTANTIATE_TEST_SUITE_P(
    Lengths, EndlessRelay,
    testing::Values(std::nullopt, std::uint64_t{1000},
                    std::numeric_limits<std::uint64_t>::max()));

}  // namespace
}  // namespace currantbeam
