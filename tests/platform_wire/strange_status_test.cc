#include <gtest/gtest.h>

#include <set>

#include "platform_wire/faulty_response.h"

namespace currantbeam {
namespace {

/// A server whose response to a request with the id "STATUS" or "STATUS-sealed"
/// has that status; to any other request it responds with a success.
class StrangeStatus : public FaultyResponse {
 protected:
  static auto Respond(const std::string& id, const std::string& other_headers)
      -> std::string {
    const auto end = id.find('-');
    const bool is_sealed = end != std::string::npos;
    return Head(id.substr(0, end) + " Strange", id,
                (is_sealed ? "X-Backend-Seal: seal\r\n" : "") + other_headers);
  }
  /// Sends a request for each status, with a success between them so that the
  /// server is not ejected.
  auto Play(const std::vector<std::string>& statuses,
            const std::string& other_headers, const std::string& body,
            const std::function<void(const std::string& id,
                                     const HttpResponse& response)>& check)
      -> void {
    const auto script = [&](ScriptedConnection& connection) {
      while (connection.ReadRequest()) {
        this->last_connection = connection.Number();
        const auto id = connection.Header("X-Request-Id");
        const bool is_strange = id.find_first_of("0123456789") == 0;
        connection.Write(is_strange ? Respond(id, other_headers) + body
                                    : Success(id));
      }
    };
    this->Run(script, [&] {
      for (const auto& status : statuses) {
        for (const auto* seal : {"", "-sealed"}) {
          const auto id = status + seal;
          check(id, this->fleet.Send("/order/a", id));
          const auto used = this->last_connection;
          EXPECT_EQ(this->fleet.Send("/order/a", "good").result_int(), 200U)
              << "after " << id;
          EXPECT_NE(this->last_connection, used) << id << ": connection reused";
        }
      }
    });
  }

  int last_connection = -1;  ///< On which the server got the last request.
};

TEST_F(StrangeStatus, OutsideTheProtocolReachesNoCaller) {
  this->Play({"000", "001", "099", "600", "999", "20", "2000", "2x0"},
             "Content-Length: 4\r\n", "body",
             [](const std::string& id, const HttpResponse& response) {
               EXPECT_EQ(response.result_int(), 502U) << id;
             });
}

TEST_F(StrangeStatus, OfAnInterimResponseIsNoFinalAnswer) {
  this->Play({"100", "101", "102", "199"}, "Content-Length: 4\r\n", "body",
             [](const std::string& id, const HttpResponse& response) {
               EXPECT_EQ(response.result_int(), 502U) << id;
             });
}

TEST_F(StrangeStatus, WithoutABodyThatBringsOneIsNoSuccess) {
  this->Play({"204"}, "Content-Length: 4\r\n", "body",
             [](const std::string& id, const HttpResponse& response) {
               EXPECT_EQ(response.result_int(), 502U) << id;
             });
}

TEST_F(StrangeStatus, NotModifiedThatBringsABodyIsRelayedWithoutIt) {
  this->Play({"304"}, "Content-Length: 4\r\n", "body",
             [](const std::string& id, const HttpResponse& response) {
               EXPECT_EQ(response.result_int(), 304U) << id;
               EXPECT_EQ(response.body(), "") << id;
             });
}

TEST_F(FaultyResponse, InterimResponsesBeforeTheFinalOneAreSkipped) {
  const auto script = [&](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
      connection.Write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
      connection.Write(Success(connection.Header("X-Request-Id")));
    }
  };
  this->Run(script, [&] {
    EXPECT_EQ(this->fleet.Send("/order/a", "id").result_int(), 200U);
  });
}

TEST_F(FaultyResponse, ServerWithStrangeStatusesCountsAsFailing) {
  int received = 0;
  const auto script = [&](ScriptedConnection& connection) {
    while (connection.ReadRequest()) {
      ++received;
      const auto id = connection.Header("X-Request-Id");
      connection.Write(Head("000 A", id, "Content-Length: 0\r\n"));
    }
  };
  this->Run(script, [&] {
    for (int i = 0; i < 3; ++i) {
      EXPECT_EQ(this->fleet.Send("/order/a", "id").result_int(), 502U);
    }
    const auto before = received;
    EXPECT_EQ(this->fleet.Send("/order/a", "id").result_int(), 503U);
    EXPECT_EQ(received, before);
  });
}

}  // namespace
}  // namespace currantbeam
