#include "platform_wire/faulty_response.h"

#include <gtest/gtest.h>

#include <set>

#include "port_block.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

auto Refusal(const std::string& id) -> std::string {
  return Head("503 Service Unavailable", id,
              "X-Not-Executed: 1\r\nContent-Length: 0\r\n");
}

/// @return whether the status tells the caller that its request has not run.
auto IsPromiseNotRun(unsigned status) -> bool {
  return std::set<unsigned>{408, 421, 429, 503}.count(status) != 0;
}

struct CutResponse {
  std::string name;
  std::string head;
  std::string body;
};

class CutHead : public FaultyResponse,
                public testing::WithParamInterface<CutResponse> {
 protected:
  /// Cuts the response after each number of bytes up to `max_length`.
  auto PlayEachCut(std::size_t max_length, bool resets) -> void {
    const auto response = GetParam().head + GetParam().body;
    std::size_t length = 0;
    int cuts = 0;
    const auto script = [&](ScriptedConnection& connection) {
      if (!connection.ReadRequest()) return;
      ++cuts;
      connection.Write(response.substr(0, length));
      resets ? connection.Reset() : connection.Close();
    };
    this->Run(script, [&] {
      for (; length <= max_length; ++length) {
        for (const auto* path : {"/order/a", "/safe/a", "/file/a"}) {
          const auto cuts_before = cuts;
          const auto status = this->fleet.Send(path, "id").result_int();
          EXPECT_TRUE(status == 502 || status == 504)
              << path << " got " << status << " after " << length << " bytes";
          EXPECT_GT(cuts, cuts_before) << "the server was not reached";
        }
      }
    });
  }
};

TEST_P(CutHead, IsNoSuccessWhenTheServerCloses) {
  this->PlayEachCut(GetParam().head.size() - 1, false);
}

TEST_P(CutHead, IsNoSuccessWhenTheServerResets) {
  this->PlayEachCut(GetParam().head.size() - 1, true);
}

TEST_P(CutHead, IsNoSuccessWhenTheBodyIsCut) {
  // Without a length, the end of the stream is the end of the body.
  const bool has_length = GetParam().name != "WithoutLength";
  this->PlayEachCut(GetParam().head.size() + GetParam().body.size() - 1,
                    !has_length);
}

INSTANTIATE_TEST_SUITE_P(
    Framings, CutHead,
    testing::Values(
        CutResponse{
            "WithLength",
            Head("200 OK", "id", "X-Backend-Seal: s\r\nContent-Length: 4\r\n"),
            "body"},
        CutResponse{"Chunked",
                    Head("200 OK", "id",
                         "X-Backend-Seal: s\r\nTransfer-Encoding: chunked\r\n"),
                    "4\r\nbody\r\n0\r\n\r\n"},
        CutResponse{"WithoutLength",
                    Head("200 OK", "id", "X-Backend-Seal: s\r\n"), "body"}),
    [](const auto& info) { return info.param.name; });

struct EndlessAnswer {
  std::string name;
  std::string id;  ///< "own" stands for the id of the request.
  std::string status;
  std::string other_headers;
  std::string part;
};

class EndlessBody : public FaultyResponse,
                    public testing::WithParamInterface<EndlessAnswer> {
 protected:
  static constexpr std::size_t kMaxSentBytes = 128 * 1024 * 1024;

  /// Answers a request without end.
  auto Serve(ScriptedConnection& connection) -> void {
    if (!connection.ReadRequest()) return;
    const auto& answer = GetParam();
    const auto own_id = connection.Header("X-Request-Id");
    ++this->open;
    connection.Write(Head(answer.status,
                          answer.id == "own" ? own_id : answer.id,
                          answer.other_headers));
    std::size_t sent = 0;
    while (sent < kMaxSentBytes && connection.Write(answer.part)) {
      sent += answer.part.size();
    }
    --this->open;
    if (sent >= kMaxSentBytes) ++this->read_whole;
  }

  /// @return the status that the caller received; 0 if it was cut short.
  auto SendAndReadStatus(const std::string& path) -> unsigned {
    try {
      return this->fleet.Send(path, "own-id").result_int();
    } catch (const RequestError&) {
      return 0;
    }
  }

  auto Play(const std::vector<std::string>& paths) -> void {
    this->Run(
        [this](auto& connection) { this->Serve(connection); },
        [&] {
          for (const auto& path : paths) {
            const auto status = this->SendAndReadStatus(path);
            EXPECT_TRUE(status == 0 || status == 502 || status == 504)
                << path << " got " << status;
            EXPECT_TRUE(WireFleet::Await([&] { return this->open == 0; }));
          }
          EXPECT_EQ(this->read_whole, 0);
        });
  }

  int open = 0;        ///< Answers that are being sent.
  int read_whole = 0;  ///< Answers of which kMaxSentBytes were read.
};

// A request whose answer never ends was never answered itself, and went on
// after its client had left.
TEST_P(EndlessBody, EndsWithTheRequest) { this->Play({"/short/a"}); }

/// Answers that are not passed on to the caller.
class SkippedEndlessBody : public EndlessBody {};

TEST_P(SkippedEndlessBody, EndsWithTheRequest) {
  this->Play({"/order/a", "/safe/a"});
}

const auto* const kChunked = "Transfer-Encoding: chunked\r\n";
const auto* const kSealed = "X-Backend-Seal: s\r\n";
const auto* const kVeryLong = "Content-Length: 9000000000000\r\n";

auto SkippedAnswers() -> std::vector<EndlessAnswer> {
  const std::string zeros(65536, '\0');
  const auto chunk = "10000\r\n" + zeros + "\r\n";
  const auto extended_chunk = "1;" + std::string(4096, 'x') + "\r\nx\r\n";
  const std::string empty = "Content-Length: 0\r\n";
  return {
      {"OfNoRequest", "", "200 OK", "", zeros},
      {"OfNoRequestInChunks", "", "200 OK", kChunked, chunk},
      {"OfNoRequestWithALength", "", "404 A", kVeryLong, zeros},
      {"OfAnotherRequest", "other", "500 A", kChunked, extended_chunk},
      {"OfManyRequests", "other", "200 OK", empty, Head("200 OK", "x", empty)},
      {"OfARefusal", "own", "503 A",
       std::string("X-Not-Executed: 1\r\n") + kChunked, chunk},
      {"OfAnUnsealedSuccess", "own", "200 OK", "", zeros}};
}

auto RelayedAnswers() -> std::vector<EndlessAnswer> {
  const std::string zeros(512, '\0');
  const std::string sealed = kSealed;
  return {
      {"ThatIsRelayed", "own", "200 OK", sealed, zeros},
      {"ThatIsRelayedInChunks", "own", "200 OK", sealed + kChunked,
       "200\r\n" + zeros + "\r\n"},
      {"OfAnError", "own", "500 A", kVeryLong, zeros},
      {"OfTrailers", "own", "200 OK", sealed + kChunked + "\r\n0", "A: b\r\n"}};
}

auto NameOf(const testing::TestParamInfo<EndlessAnswer>& info) -> std::string {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Skipped, EndlessBody,
                         testing::ValuesIn(SkippedAnswers()), NameOf);
INSTANTIATE_TEST_SUITE_P(Relayed, EndlessBody,
                         testing::ValuesIn(RelayedAnswers()), NameOf);
INSTANTIATE_TEST_SUITE_P(All, SkippedEndlessBody,
                         testing::ValuesIn(SkippedAnswers()), NameOf);

/// When a server repeats a refusal.
enum class RepeatTime { kAtOnce, kWhileIdle, kDuringNextRequest };

struct Repeat {
  std::string id;  ///< In the repeated refusal; may be empty.
  RepeatTime time = RepeatTime::kAtOnce;
  bool responds = true;  ///< The response to the next request follows.
  std::string path;
};

class RepeatedRefusal : public FaultyResponse,
                        public testing::WithParamInterface<Repeat> {
 protected:
  auto Serve(ScriptedConnection& connection) -> void {
    const auto& repeat = GetParam();
    const auto repeated = Refusal(repeat.id);
    while (connection.ReadRequest()) {
      const auto id = connection.Header("X-Request-Id");
      if (id == "refused") {
        const bool is_at_once = repeat.time == RepeatTime::kAtOnce;
        connection.Write(Refusal(id) + (is_at_once ? repeated : ""));
        if (repeat.time != RepeatTime::kWhileIdle) continue;
        SleepFor(milliseconds(5));
        connection.Write(repeated);
        continue;
      }
      ++this->runs;
      if (repeat.time == RepeatTime::kDuringNextRequest) {
        connection.Write(repeated);
        SleepFor(milliseconds(20));
      }
      if (!repeat.responds) break;
      connection.Write(Success(id));
    }
    connection.Close();
  }

  int runs = 0;
};

TEST_P(RepeatedRefusal, IsNoRefusalOfTheNextRequest) {
  const auto& repeat = GetParam();
  this->Run(
      [this](auto& connection) { this->Serve(connection); },
      [&] {
        // Without a retry budget, it is sent once.
        EXPECT_EQ(this->fleet.Send("/order/a", "refused").result_int(), 503);
        SleepFor(milliseconds(20));
        const auto status = this->fleet.Send(repeat.path, "next").result_int();
        EXPECT_FALSE(IsPromiseNotRun(status)) << status;
        EXPECT_GE(this->runs, 1);
        if (repeat.path == "/order/a") {
          EXPECT_EQ(this->runs, 1);
        }
        if (repeat.responds) {
          EXPECT_EQ(status, 200U);
        }
      });
}

auto AllRepeats() -> std::vector<Repeat> {
  std::vector<Repeat> repeats;
  for (const auto* path : {"/order/a", "/safe/a"}) {
    for (const auto* id : {"refused", ""}) {
      for (const auto time : {RepeatTime::kAtOnce, RepeatTime::kWhileIdle,
                              RepeatTime::kDuringNextRequest}) {
        for (const bool responds : {true, false}) {
          repeats.push_back({id, time, responds, path});
        }
      }
    }
  }
  return repeats;
}

INSTANTIATE_TEST_SUITE_P(All, RepeatedRefusal, testing::ValuesIn(AllRepeats()));

TEST_F(FaultyResponse, ARepeatedRefusalOfTheSameRequestIsNoRefusalOfItsRetry) {
  int runs = 0;
  std::set<int> refusing;  // Connections on which the request was refused.
  const auto script = [&](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      const auto id = connection.Header("X-Request-Id");
      if (id == "again" && refusing.empty()) {
        refusing.insert(connection.Number());
        connection.Write(Refusal(id));
        continue;
      }
      if (id == "again") {
        ++runs;
        if (refusing.count(connection.Number()) != 0) {
          connection.Write(Refusal(id));
        }
        SleepFor(milliseconds(20));
      }
      connection.Write(Success(id));
    }
    connection.Close();
  };
  this->Run(script, [&] {
    for (int i = 0; i < 60; ++i) {
      this->fleet.Send("/safe/a", "earn-" + std::to_string(i));
    }
    const auto status = this->fleet.Send("/order/a", "again").result_int();
    EXPECT_EQ(runs, 1) << "the request was not retried";
    EXPECT_EQ(status, 200U);
  });
}

/// @return a request or response without a body, but with a trailer.
auto WithTrailer(const std::string& head) -> std::string {
  return head + "0\r\nX-Request-Id: second\r\nX-Trailer: t\r\n\r\n";
}

// A trailer could add headers that the receiver takes for those of the head.
TEST_F(FaultyResponse, TrailersAreRelayedInNeitherDirection) {
  std::string received;
  const auto script = [&](ScriptedConnection& connection) {
    if (!connection.ReadRequest()) return;
    received = connection.Header("X-Trailer") + connection.Header("X-Head");
    connection.Write(
        WithTrailer(Head("200 OK", "first", std::string(kSealed) + kChunked)));
    connection.Close();
  };
  this->Run(script, [&] {
    const auto answer = this->fleet.SendRaw(
        WithTrailer("POST /order/a HTTP/1.1\r\nHost: h.example\r\nX-Head: h\r\n"
                    "Connection: close\r\nX-Request-Id: first\r\n" +
                    std::string(kChunked) + "\r\n"));
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(answer.find("X-Trailer"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("second"), std::string::npos) << answer;
    EXPECT_EQ(received, "h");
  });
}

TEST_F(FaultyResponse, TheNameOfTheChunkedCodingHasNoCase) {
  const auto script = [](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(
          Head("200 OK", connection.Header("X-Request-Id"),
               std::string(kSealed) + "Transfer-Encoding: Chunked\r\n") +
          "4\r\nbody\r\n0\r\n\r\n");
    }
  };
  this->Run(script, [&] {
    EXPECT_EQ(this->fleet.Send("/order/a", "id").result_int(), 200U);
  });
}

// The header that names the coding is not relayed.
TEST_F(FaultyResponse, AnEncodedBodyIsNoSuccess) {
  const auto script = [](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(
          Head("200 OK", connection.Header("X-Request-Id"),
               std::string(kSealed) + "Transfer-Encoding: gzip, chunked\r\n") +
          "4\r\nbody\r\n0\r\n\r\n");
    }
  };
  this->Run(script, [&] {
    EXPECT_EQ(this->fleet.Send("/order/a", "id").result_int(), 502U);
  });
}

TEST_F(FaultyResponse, AStatusAloneDoesNotSayThatARequestHasNotRun) {
  std::string status;
  int runs = 0;
  const auto script = [&](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      ++runs;
      connection.Write(Head(status, connection.Header("X-Request-Id"),
                            "Content-Length: 0\r\n"));
    }
    connection.Close();
  };
  this->Run(script, [&] {
    for (const auto* each : {"408 A", "421 B", "429 C", "503 D"}) {
      status = each;
      runs = 0;
      const auto relayed = this->fleet.Send("/order/a", each).result_int();
      EXPECT_EQ(relayed, 502U) << each;
      EXPECT_EQ(runs, 1) << each;
    }
  });
}

}  // namespace
}  // namespace currantbeam
