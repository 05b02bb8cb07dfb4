#include "router/request_fingerprint.h"

#include <gtest/gtest.h>

namespace currantbeam {
namespace {

auto MakeHeaders() -> ForwardingHeaders {
  ForwardingHeaders headers;
  headers.request_id = "X-Id";
  headers.deadline_ms = "X-Deadline";
  headers.key = "X-Key";
  return headers;
}

auto MakeRequest() -> HttpRequest {
  HttpRequest request{http::verb::post, "/a", 11};
  request.set(http::field::host, "h");
  request.set(http::field::cookie, "caller=1");
  request.set("X-Key", "5");
  request.body() = "order";
  return request;
}

TEST(RequestFingerprint, IsTheSameForRepetitionsOfARequest) {
  auto repetition = MakeRequest();
  repetition.set("X-Id", "another");
  repetition.set("X-Deadline", "900");
  repetition.set(http::field::connection, "close");
  EXPECT_EQ(FingerprintOf(MakeRequest(), MakeHeaders()),
            FingerprintOf(repetition, MakeHeaders()));
}

TEST(RequestFingerprint, DiffersBetweenRequestsAndBetweenCallers) {
  const auto fingerprint = FingerprintOf(MakeRequest(), MakeHeaders());
  const auto differs = [&](const HttpRequest& other) {
    return FingerprintOf(other, MakeHeaders()) != fingerprint;
  };
  auto other = MakeRequest();
  other.method(http::verb::put);
  EXPECT_TRUE(differs(other));
  other = MakeRequest();
  other.target("/b");
  EXPECT_TRUE(differs(other));
  other = MakeRequest();
  other.body() = "orders";
  EXPECT_TRUE(differs(other));
  for (const char* header : {"Host", "X-Key", "Cookie", "Authorization"}) {
    other = MakeRequest();
    other.set(header, "other");
    EXPECT_TRUE(differs(other)) << header;
  }
}

}  // namespace
}  // namespace currantbeam
