#include "router/ended_server_probe.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "fiber_test.h"
#include "router/make_entry.h"

namespace currantbeam {
namespace {

using boost::asio::ip::tcp;

/// A listener whose backlog is full, so that the system does not respond to
/// further attempts to connect.
class FullListener {
 public:
  FullListener() : acceptor(this->io) {
    this->acceptor.open(tcp::v4());
    this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    this->acceptor.listen(0);
    for (int i = 0; i < kFillers; ++i) {
      auto socket = std::make_unique<tcp::socket>(this->io);
      // Begins to connect, although the loop never runs.
      socket->async_connect(this->acceptor.local_endpoint(),
                            [](const boost::system::error_code&) {});
      this->fillers.push_back(std::move(socket));
    }
  }
  [[nodiscard]] auto Entry() const -> BackendEntry {
    auto entry = MakeEntry("a", 1);
    entry.address = "127.0.0.1";
    entry.port = this->acceptor.local_endpoint().port();
    return entry;
  }

 private:
  static constexpr int kFillers = 4;

  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<tcp::socket>> fillers;
};

TEST(EndedServerProbe, HoldsUpNoRequestWithoutTime) {
  const FullListener listener;
  EndedServerProbe probe;
  FiberLoop loop;
  RunInFiber(loop, [&] {
    bool is_first_done = false;
    FiberLoop::Current().Spawn([&] {
      probe.HasEnded(listener.Entry(), std::chrono::seconds(1));
      is_first_done = true;
    });
    SleepFor(std::chrono::milliseconds(1));
    EXPECT_FALSE(probe.HasEnded(listener.Entry(), Duration(0)));
    EXPECT_FALSE(is_first_done);
    while (!is_first_done) SleepFor(std::chrono::milliseconds(1));
  });
}

TEST(EndedServerProbe, FindsAnAddressWithoutListener) {
  auto entry = MakeEntry("a", 1);
  {
    const FullListener listener;
    entry = listener.Entry();
  }
  EndedServerProbe probe;
  FiberLoop loop;
  RunInFiber(loop, [&] {
    EXPECT_TRUE(probe.HasEnded(entry, std::chrono::seconds(1)));
  });
}

}  // namespace
}  // namespace currantbeam
