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

/// A clock with an offset from the true time and a different rate.
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

/// A fault that is active for `length` steps from step `start`. `a` and `b`
/// select the hosts or servers that it affects, modulo their number.
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

/// Simulates one failure domain: placers, gateways, backend servers, the
/// platform's table, and a network that loses, duplicates, delays and reorders
/// messages. All clocks are simulated. Each step checks the invariants.
class DomainSimulation {
 public:
  /// The lease timing is set separately for placers and gateways, so that a
  /// test can disable a mechanism in one of them.
  struct Options {
    LeaseTiming placer;
    LeaseTiming gateway;
    std::uint64_t seed = 1;
    int hosts = 3;
    int servers = 4;
    SlotIndex slots = 6;
    int base_loss_percent = 1;  ///< Messages lost without a fault.
  };

  explicit DomainSimulation(const Options& options);
  ~DomainSimulation();

  /// Runs the steps with these faults, until an invariant is violated.
  auto Run(const std::vector<Fault>& faults, int steps) -> void;
  /// Runs without faults until every slot is served.
  /// @return the number of steps before the last one, or -1 if a slot was still
  /// not served after `limit` steps or an invariant was violated.
  auto Settle(int limit) -> int;
  /// @return the first violated invariant; empty if none was.
  [[nodiscard]] auto Violation() const -> const std::string& {
    return this->violation;
  }
  /// @return the number of slots for which a published driver may dispatch and
  /// the server accepts.
  [[nodiscard]] auto ServedSlots() const -> std::size_t;
  /// @return the index of the active placer's host, or -1 if there is none.
  [[nodiscard]] auto ActivePlacer() const -> int;
  /// @return the index of the gateway that drives the server and reports it as
  /// healthy, or -1 if there is none.
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
  /// @return the server's driver by the newest document that any gateway has.
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

/// @return the fault as text, for the message of a failing test.
auto Describe(const Fault& fault) -> std::string;

}  // namespace currantbeam
