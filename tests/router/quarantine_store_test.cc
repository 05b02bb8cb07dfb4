#include "router/quarantine_store.h"

#include <gtest/gtest.h>

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestFingerprint kDeadly = 7;
const RowName kRow{"quarantine", "", "requests"};

class StoredQuarantine : public testing::Test {
 protected:
  struct Host {
    Host(MemoryStore& memory, const Clock& clock)
        : store(memory, clock, this->quarantine,
                [&memory] { return memory.Epoch(); }) {}

    RequestQuarantine quarantine;
    QuarantineStore store;
  };

  auto QuarantineRequest(Host& host) -> void {
    for (int i = 0; i < kMaxEndsPerRequest; ++i) {
      const ServerProcess process{ServerId(std::to_string(i)), milliseconds(1)};
      host.quarantine.OnServerEnded(process, kDeadly, this->clock.Now());
    }
  }
  [[nodiscard]] auto TimeUntilRelease(const Host& host) const
      -> std::optional<Duration> {
    return host.quarantine.TimeUntilRelease(kDeadly, this->clock.Now());
  }

  ManualClock clock;
  MemoryStore memory{this->clock};
  Host first{this->memory, this->clock};
  Host restarted{this->memory, this->clock};
};

TEST_F(StoredQuarantine, SurvivesTheEndOfAllHosts) {
  this->first.store.LoadIfNeeded();
  this->QuarantineRequest(this->first);
  this->first.store.StoreIfChanged();
  this->clock.Advance(seconds(20));
  this->restarted.store.LoadIfNeeded();
  EXPECT_EQ(this->TimeUntilRelease(this->restarted),
            kFirstQuarantine - seconds(20));
}

TEST_F(StoredQuarantine, IsNotRenewedByAnOldRow) {
  this->first.store.LoadIfNeeded();
  this->QuarantineRequest(this->first);
  this->first.store.StoreIfChanged();
  this->clock.Advance(std::chrono::hours(1));
  this->restarted.store.LoadIfNeeded();
  EXPECT_TRUE(this->restarted.quarantine.IsIdle());
}

TEST_F(StoredQuarantine, IsWrittenOnlyWhenItChanges) {
  this->first.store.LoadIfNeeded();
  this->first.store.StoreIfChanged();
  EXPECT_FALSE(this->memory.Find(kRow));
  this->QuarantineRequest(this->first);
  this->first.store.StoreIfChanged();
  const auto version = this->memory.Find(kRow)->version;
  this->first.store.StoreIfChanged();
  EXPECT_EQ(this->memory.Find(kRow)->version, version);
}

TEST_F(StoredQuarantine, IsWrittenAgainAfterARestoreOfTheStore) {
  this->first.store.LoadIfNeeded();
  const auto copy = this->memory.TakeCopy();
  this->QuarantineRequest(this->first);
  this->first.store.StoreIfChanged();
  this->memory.Restore(copy);
  EXPECT_FALSE(this->memory.Find(kRow));
  this->first.store.StoreIfChanged();
  EXPECT_TRUE(this->memory.Find(kRow));
}

TEST_F(StoredQuarantine, IsReadOnceTheStoreResponds) {
  this->first.store.LoadIfNeeded();
  this->QuarantineRequest(this->first);
  this->first.store.StoreIfChanged();
  this->memory.SetDown(true);
  this->restarted.store.LoadIfNeeded();
  EXPECT_FALSE(this->TimeUntilRelease(this->restarted));
  this->memory.SetDown(false);
  this->restarted.store.LoadIfNeeded();
  EXPECT_TRUE(this->TimeUntilRelease(this->restarted));
}

TEST_F(StoredQuarantine, IgnoresARowThatCannotBeRead) {
  this->memory.Put(kRow, "x");
  this->first.store.LoadIfNeeded();
  EXPECT_TRUE(this->first.quarantine.IsIdle());
}

}  // namespace
}  // namespace currantbeam
