#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ownership/ownership.h"
#include "platform/memory_platform.h"

namespace currantbeam {

/// A clock that runs at a rate of its own and never stops.
class DriftingClock : public Clock {
 public:
  DriftingClock(const ManualClock& true_time, double rate, Duration offset)
      : true_time(true_time), rate(rate), offset(offset) {}
  [[nodiscard]] auto Now() const -> TimePoint override {
    const auto micros = static_cast<double>(ToMicros(this->true_time.Now()));
    return FromMicros(static_cast<std::int64_t>(micros * this->rate)) +
           this->offset;
  }

 private:
  const ManualClock& true_time;
  double rate;
  Duration offset;
};

/// A fault that starts at a step and lasts for some steps.
struct Fault {
  enum class Kind {
    kPausePlacer,
    kPauseGateway,
    kPauseServer,
    kRestartPlacer,
    kRestartGateway,
    kRestartServer,
    kPartitionHosts,
    kPartitionHostFromPlatform,
    kPartitionHostFromServer,
    kPlatformDown,
    kPlatformLosesResponses,
    kServerLeaving,
    kUnreliableNetwork,
    kLast = kUnreliableNetwork,
  };
  Kind kind = Kind::kPausePlacer;
  int a = 0;
  int b = 0;
  int start = 0;
  int length = 0;
};

/// One failure domain with its placers, gateways and servers, a table, and a
/// network between them that loses, repeats, delays and reorders messages.
/// Everything runs on fake clocks; every step checks what must always hold.
class DomainSimulation {
 public:
  /// Timings by role, so that tests can switch a mechanism off.
  struct Options {
    LeaseTiming placer;
    LeaseTiming gateway;
    std::uint64_t seed = 1;
    int hosts = 3;
    int servers = 4;
    SlotIndex slots = 6;
    int base_loss_percent = 1;  ///< Messages lost without any fault.
  };

  explicit DomainSimulation(const Options& options);
  ~DomainSimulation();

  /// Runs the steps, applying faults as they come due.
  auto Run(const std::vector<Fault>& faults, int steps) -> void;
  /// Runs without faults until every slot is served.
  /// @return the number of steps it took, or -1 if `limit` was not enough.
  auto Settle(int limit) -> int;
  /// @return what was violated; empty if nothing was.
  [[nodiscard]] auto Violation() const -> const std::string& {
    return this->violation;
  }
  /// @return how many slots can be served right now.
  [[nodiscard]] auto ServedSlots() const -> std::size_t;
  [[nodiscard]] auto ActivePlacer() const -> int;
  [[nodiscard]] auto DriverOf(int server) const -> int;
  [[nodiscard]] auto SlotCount(int server) const -> std::size_t;
  [[nodiscard]] auto Epochs() const -> std::map<SlotIndex, Epoch>;

  static constexpr auto kStep = std::chrono::milliseconds(10);

 private:
  struct Host;
  struct Server;
  struct Message {
    int due = 0;
    int order = 0;
    std::function<bool()> deliver;  ///< False if the receiver is paused.
  };

  auto Step(const std::vector<Fault>& faults) -> void;
  auto ApplyRestarts(const std::vector<Fault>& faults) -> void;
  [[nodiscard]] auto HasFault(Fault::Kind kind, int a, int b = -1) const
      -> bool;
  auto Send(bool is_partitioned, const std::function<bool()>& deliver) -> void;
  auto Deliver() -> void;
  auto RunPlacer(int host) -> void;
  auto RunGateway(int host) -> void;
  auto SendTableRequest(int host, const TableRequest& request) -> void;
  auto UpdateHosts() -> void;
  auto Check() -> void;
  auto Fail(const std::string& what) -> void;
  /// @return the server's driver by the newest document that a gateway has.
  [[nodiscard]] auto PublishedDriver(int server) const -> HostId;
  [[nodiscard]] auto ServerName(int server) const -> ServerId;

  Options options;
  ManualClock true_time;
  std::mt19937_64 random;
  int step = 0;
  int message_order = 0;
  std::vector<Fault> active;
  std::vector<Message> messages;
  MemoryPlatform platform;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Server>> servers;
  std::set<ServerId> leaving;
  std::map<std::pair<SlotIndex, Epoch>, ServerId> known_owners;
  std::string violation;
};

/// @return the fault in words, for a failing history.
auto Describe(const Fault& fault) -> std::string;

}  // namespace currantbeam
