#include <gtest/gtest.h>

#include "fiber_test.h"
#include "http/byte_source.h"
#include "http/http.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

struct EndlessBytes {
  std::string name;
  std::string prefix;
  std::string part;
};

auto Zeros(std::size_t count) -> std::string {
  return std::string(count, '\0');
}

auto Chunk(const std::string& extension, std::size_t length) -> std::string {
  std::ostringstream chunk;
  chunk << std::hex << length << extension << "\r\n" << Zeros(length) << "\r\n";
  return chunk.str();
}

auto Head(const std::string& status, const std::string& framing)
    -> std::string {
  return "HTTP/1.1 " + status + "\r\n" + framing + "\r\n";
}

const auto* const kChunked = "Transfer-Encoding: chunked\r\n";

/// Each is a response that goes on for as long as its bytes are read.
auto AllEndlessBytes() -> std::vector<EndlessBytes> {
  const auto many = Zeros(std::size_t{64} * 1024);
  return {
      {"UntilClose", Head("200 OK", ""), many},
      {"UntilCloseInSmallParts", Head("200 OK", ""), Zeros(100)},
      {"OfUnknownLengthAfterAnError", Head("500 Error", ""), many},
      {"OfUnknownLengthAfterARefusal",
       Head("421 Misdirected", "X-Not-Executed: 1\r\n"), many},
      {"WithALength", Head("200 OK", "Content-Length: 9000000000000\r\n"),
       many},
      {"InChunks", Head("200 OK", kChunked), Chunk("", 1000)},
      {"InChunksOfOneByte", Head("200 OK", kChunked), Chunk("", 1)},
      {"InChunkExtensions", Head("200 OK", kChunked),
       Chunk(";x=" + std::string(1000, 'x'), 1)},
      {"InOneChunk", Head("200 OK", kChunked) + "ffffffffffff\r\n", many},
      {"InOneChunkExtension", Head("200 OK", kChunked) + "1;x=", "xxxxxxxx"},
      {"InTrailers", Head("200 OK", kChunked) + "0\r\n", "A: b\r\n"},
      {"InStatusLine", "HTTP/1.1 200 ", "xxxxxxxx"},
      {"InHeaders", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"WithoutStatusLine", "", many},
  };
}

class EndlessResponse : public testing::TestWithParam<EndlessBytes> {};

// A call that reads the whole response would keep all of it until the process
// exceeds its memory.
TEST_P(EndlessResponse, IsGivenUpAtItsLimitInBytes) {
  ByteSource server(GetParam().prefix, GetParam().part);
  FiberLoop loop;
  RunInFiber(loop, [&] {
    EXPECT_THROW(
        Fetch("127.0.0.1", server.Port(), HttpRequest{http::verb::get, "/", 11},
              milliseconds(60'000)),
        RequestError);
  });
  EXPECT_TRUE(server.WasClosedByClient());
}

/// Reads the head of a response whose body does not end.
auto ReadEndlessHead(HttpConnection& connection) -> void {
  connection.Connect(milliseconds(60'000));
  connection.Exchange(HttpRequest{http::verb::get, "/", 11},
                      milliseconds(60'000));
  EXPECT_FALSE(connection.ReadBody(milliseconds(60'000)).empty());
}

// A deadline that only interrupts a wait never ends a loop of reads that don't
// wait.
TEST(EndlessResponseTime, IsUpAlthoughMoreBytesAreThere) {
  ByteSource server(Head("200 OK", ""), Zeros(64 * 1024));
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    ReadEndlessHead(connection);
    EXPECT_THROW(connection.ReadBody(milliseconds(0)), RequestError);
    EXPECT_FALSE(connection.IsReusable());
  });
  EXPECT_TRUE(server.WasClosedByClient());
}

TEST(EndlessResponseTime, IsUpForAHeadThatIsThere) {
  ByteSource server(Head("200 OK", "Content-Length: 0\r\n"),
                    Head("200 OK", "Content-Length: 0\r\n"));
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    connection.Connect(milliseconds(60'000));
    connection.Exchange(HttpRequest{http::verb::get, "/", 11},
                        milliseconds(60'000));
    EXPECT_THROW(connection.ReadHead(false, milliseconds(-1)), RequestError);
  });
  EXPECT_TRUE(server.WasClosedByClient());
}

// A client that leaves cancels the read of its response, which may have
// completed at that moment.
TEST(EndlessResponseTime, IsUpForAllReadsAfterACancel) {
  ByteSource server(Head("200 OK", ""), Zeros(64 * 1024));
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    ReadEndlessHead(connection);
    connection.Cancel();
    EXPECT_THROW(connection.ReadBody(milliseconds(60'000)), RequestError);
  });
  EXPECT_TRUE(server.WasClosedByClient());
}

TEST(EndlessResponseTime, NoRequestIsSentWhenItIsUp) {
  ByteSource server("", "x");
  FiberLoop loop;
  RunInFiber(loop, [&] {
    HttpConnection connection("127.0.0.1", server.Port());
    connection.Connect(milliseconds(60'000));
    try {
      connection.Send(HttpRequest{http::verb::get, "/", 11}, milliseconds(0));
      ADD_FAILURE() << "sent";
    } catch (const RequestError& error) {
      EXPECT_EQ(error.GetVerdict(), Verdict::kNotRun);
    }
  });
  server.WasClosedByClient();
}

INSTANTIATE_TEST_SUITE_P(All, EndlessResponse,
                         testing::ValuesIn(AllEndlessBytes()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace currantbeam
