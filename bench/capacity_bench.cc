// Measures how the memory, the messages and the processor time of each role
// grow with the size of a deployment, and prints the intercept and slope of a
// least-squares fit. docs/CAPACITY.md uses these figures.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ownership/ownership.h"
#include "peers/peers.h"
#include "platform/platform.h"
#include "policy/policy.h"
#include "routing/routing.h"

namespace currantbeam {
namespace {

/// One measurement: the value at a size of the deployment.
struct Point {
  double size;
  double value;
};

/// @return the mean time of one call in microseconds, after a warm-up call.
auto MeanMicros(const std::function<void()>& work, int repetitions) -> double {
  work();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < repetitions; ++i) work();
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / repetitions;
}

/// @return the bytes that are allocated on the heap.
auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Prints the points and the line fitted to them by least squares.
/// @param size_name  the unit of the points' sizes.
auto PrintLinearFit(const std::string& metric, const std::string& unit,
                    const std::string& size_name,
                    const std::vector<Point>& points) -> void {
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  std::printf("%s (%s) by %s:", metric.c_str(), unit.c_str(),
              size_name.c_str());
  for (const auto& point : points) {
    std::printf(" %.0f=%.3f", point.size, point.value);
    n += 1;
    sx += point.size;
    sy += point.value;
    sxx += point.size * point.size;
    sxy += point.size * point.value;
  }
  const auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  std::printf("\n    intercept %.4f slope %.6f\n", (sy - slope * sx) / n,
              slope);
}

auto MakeHosts(int gateways, int servers) -> HostList {
  HostList hosts;
  for (int i = 0; i < gateways; ++i) {
    EntryHost host;
    host.id = HostId("host-" + std::to_string(i));
    host.domain = FailureDomain("d");
    host.hop = {"10.0.0.1", 1000};
    hosts.entry_hosts.push_back(host);
  }
  for (int i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = ServerId("server-" + std::to_string(i));
    server.service = ServiceName("s");
    server.domain = FailureDomain("d");
    server.endpoint = {"10.0.1.1", 2000};
    server.slots = 4;
    hosts.servers.push_back(server);
  }
  return hosts;
}

auto MakeSegment(SlotIndex slots, int servers) -> Segment {
  Segment segment;
  segment.service = ServiceName("s");
  segment.domain = FailureDomain("d");
  for (SlotIndex i = 0; i < slots; ++i) {
    auto& slot = segment.slots[i];
    slot.owner = ServerId("server-" + std::to_string(i % servers));
    slot.successor = ServerId("server-" + std::to_string((i + 1) % servers));
    slot.epoch = 3;
  }
  return segment;
}

auto MakeDocuments(SlotIndex slots, int servers) -> DocumentSet {
  DocumentSet documents;
  const auto segment = MakeSegment(slots, servers);
  documents.Apply({segment.Name(), {{1, 0}, 1}, segment});
  auto rows = nlohmann::json::array();
  for (const auto& server : MakeHosts(0, servers).servers) {
    nlohmann::json row = server;
    row["gateway"] = HostId("host-1");
    row["lost_gateway"] = HostId();
    row["hop"] = Endpoint{"10.0.0.1", 1000};
    rows.push_back(row);
  }
  documents.Apply({"drivers/d", {{1, 0}, 1}, rows});
  return documents;
}

auto BenchRouting() -> void {
  std::vector<Point> lookup_times;
  std::vector<Point> build_times;
  std::vector<Point> table_sizes;
  std::vector<Point> segment_sizes;
  for (const SlotIndex slots : {480U, 10'000U, 50'000U, 200'000U}) {
    const auto documents = MakeDocuments(slots, 40);
    const std::vector<RoutingTable::ServiceSize> sizes = {
        {ServiceName("s"), slots}};
    const auto before = HeapBytes();
    const auto table = RoutingTable::Build(documents, sizes);
    table_sizes.push_back({1.0 * slots, (HeapBytes() - before) / 1024});
    build_times.push_back(
        {1.0 * slots,
         MeanMicros([&] { RoutingTable::Build(documents, sizes); }, 3) / 1000});
    const auto* routes = table->Find(ServiceName("s"));
    std::uint64_t sum = 0;
    std::uint64_t hash = 1;
    constexpr int kLookups = 2'000'000;
    const auto elapsed = MeanMicros(
        [&] {
          for (int i = 0; i < kLookups; ++i) {
            hash = hash * 6364136223846793005ULL + 1442695040888963407ULL;
            sum += routes->Find(hash).epoch;
          }
        },
        1);
    // Uses the sum, so that the compiler keeps the lookups.
    if (sum == 42) std::printf(" ");
    lookup_times.push_back({1.0 * slots, elapsed * 1000 / kLookups});
    nlohmann::json body = MakeSegment(slots, 40);
    segment_sizes.push_back(
        {1.0 * slots, static_cast<double>(EncodeMessage(body).size())});
  }
  PrintLinearFit("routing decision", "ns", "slots", lookup_times);
  PrintLinearFit("routing table build", "ms", "slots", build_times);
  PrintLinearFit("routing table", "KiB", "slots", table_sizes);
  PrintLinearFit("segment document", "bytes of CBOR", "slots", segment_sizes);
}

/// One placer with its gateways and backend servers on a manual clock and
/// without sockets, stepped until the placer is active and has nothing to do.
class SimulatedDomain {
 public:
  SimulatedDomain(int gateways, int servers, SlotIndex slots)
      : placer(HostId("host-0"), FailureDomain("d"), 7, LeaseTiming(),
               this->clock) {
    const auto hosts = MakeHosts(gateways, servers);
    PlacerConfiguration configuration;
    configuration.version = 1;
    ServiceSlots service{ServiceName("s"), {}};
    for (SlotIndex i = 0; i < slots; ++i) service.slots.push_back(i);
    configuration.services.push_back(service);
    this->placer.SetHosts(hosts);
    this->placer.SetConfiguration(configuration);
    for (int i = 0; i < gateways; ++i) {
      this->agents.push_back(std::make_unique<GatewayAgent>(
          hosts.entry_hosts[i].id, FailureDomain("d"), i + 1, LeaseTiming(),
          this->clock));
    }
    for (int i = 0; i < servers; ++i) {
      this->holders.push_back(std::make_unique<GrantHolder>(this->clock, 1));
    }
    for (int i = 0; i < 400; ++i) this->Step();
  }

  auto Step() -> void {
    this->clock.Advance(std::chrono::milliseconds(10));
    this->placer.Tick();
    while (auto request = this->placer.TakeTableRequest()) {
      this->CompleteTableRequest(*request);
    }
    for (const auto& [to, beat] : this->placer.TakeHeartbeats()) {
      auto& agent = *this->agents[std::stoul(to.Value().substr(5))];
      this->placer.OnReport(agent.OnHeartbeat(beat));
    }
    for (auto& agent : this->agents) this->RenewGrants(*agent);
    this->placer.TakeDecisions();
  }

  /// Sends each grant that the gateway has due directly to its server.
  auto RenewGrants(GatewayAgent& agent) -> void {
    for (const auto& attempt : agent.DrivenServers().DueGrants()) {
      auto& holder =
          *this->holders[std::stoul(attempt.server.Value().substr(7))];
      agent.DrivenServers().Confirm(attempt, holder.Accept(attempt.grant));
    }
  }

  auto CompleteTableRequest(const TableRequest& request) -> void {
    if (request.kind == TableRequest::Kind::kReadTerm ||
        request.kind == TableRequest::Kind::kReadSegments) {
      this->placer.OnTableRead(request,
                               this->platform.ReadRows(request.prefix));
    } else {
      this->placer.OnTableCommit(request,
                                 this->platform.Commit(request.transaction));
    }
  }

  ManualClock clock;
  MemoryPlatform platform;
  Placer placer;
  std::vector<std::unique_ptr<GatewayAgent>> agents;
  std::vector<std::unique_ptr<GrantHolder>> holders;
};

auto BenchPlacer() -> void {
  std::vector<Point> tick_times;
  std::vector<Point> heartbeat_rounds;
  for (const SlotIndex slots : {200U, 1000U, 4000U, 16'000U}) {
    SimulatedDomain domain(3, 20, slots);
    tick_times.push_back(
        {1.0 * slots, MeanMicros([&] { domain.placer.Tick(); }, 20)});
  }
  PrintLinearFit("placer tick", "us", "slots assigned to the domain",
                 tick_times);
  for (const int gateways : {3, 16, 64, 128}) {
    SimulatedDomain domain(gateways, 2 * gateways, 200);
    domain.Step();
    Heartbeat beat;
    beat.placer = HostId("host-0");
    beat.leading = beat.active = true;
    const auto exchange = MeanMicros(
        [&] {
          domain.clock.Advance(std::chrono::milliseconds(80));
          for (auto& agent : domain.agents) domain.RenewGrants(*agent);
          for (const auto& [to, sent] : domain.placer.TakeHeartbeats()) {
            auto& agent = *domain.agents[std::stoul(to.Value().substr(5))];
            const auto encoded_heartbeat = EncodeMessage(sent);
            const auto report = agent.OnHeartbeat(
                DecodeMessage(encoded_heartbeat).get<Heartbeat>());
            const auto encoded_report = EncodeMessage(report);
            domain.placer.OnReport(
                DecodeMessage(encoded_report).get<currantbeam::Report>());
          }
        },
        10);
    heartbeat_rounds.push_back({1.0 * gateways, exchange});
  }
  PrintLinearFit("heartbeat and report, both ends, without sockets", "us",
                 "gateways", heartbeat_rounds);
}

auto BenchMessages() -> void {
  std::vector<Point> heartbeat_sizes;
  std::vector<Point> report_sizes;
  std::vector<Point> codec_times;
  for (const int servers : {1, 4, 16, 64}) {
    Heartbeat beat;
    beat.placer = HostId("host-0");
    beat.session = beat.incarnation = 8'000'000'000'000'000ULL;
    beat.clock = beat.echo = 1'000'000'000'000;
    currantbeam::Report report;
    report.gateway = report.followed_placer = HostId("host-0");
    report.incarnation = report.session = 8'000'000'000'000'000ULL;
    report.clock = report.echo = 1'000'000'000'000;
    for (int i = 0; i < servers; ++i) {
      const ServerId id("server-" + std::to_string(i));
      beat.assignments.push_back({id, 4'300'000'000ULL});
      report.driven_servers.push_back(
          {id, 4'300'000'000ULL, true, false, 9, 0});
    }
    heartbeat_sizes.push_back(
        {1.0 * servers, static_cast<double>(EncodeMessage(beat).size())});
    report_sizes.push_back(
        {1.0 * servers, static_cast<double>(EncodeMessage(report).size())});
    const auto encoded_heartbeat = EncodeMessage(beat);
    codec_times.push_back(
        {1.0 * servers, MeanMicros(
                            [&] {
                              EncodeMessage(report);
                              DecodeMessage(encoded_heartbeat).get<Heartbeat>();
                            },
                            2000)});
  }
  PrintLinearFit("beat", "bytes", "servers driven", heartbeat_sizes);
  PrintLinearFit("report", "bytes", "servers driven", report_sizes);
  PrintLinearFit("codec of a heartbeat and its report, gateway", "us",
                 "servers driven", codec_times);
  std::vector<Point> grant_sizes;
  for (const SlotIndex slots : {10U, 50U, 200U, 1000U}) {
    Grant grant;
    grant.token = 4'300'000'000ULL;
    grant.expires_at = 1'000'000'000'000;
    for (SlotIndex i = 0; i < slots; ++i) grant.slots.push_back(100'000 + i);
    grant_sizes.push_back(
        {1.0 * slots,
         static_cast<double>(nlohmann::json(grant.slots).dump().size() + 120)});
  }
  PrintLinearFit("grant, JSON", "bytes", "slots owned by the server",
                 grant_sizes);
}

auto BenchPolicy() -> void {
  std::vector<Point> offer_times;
  for (const int queued : {0, 100, 400, 1600}) {
    ManualClock clock;
    ServerQueue queue(4, clock.Now());
    std::uint64_t id = 0;
    const auto item = [&] {
      WorkItem work;
      work.id = ++id;
      work.class_name = ClassName("class-" + std::to_string(id % 3));
      work.neighbour = NeighbourName("n-" + std::to_string(id % 4));
      work.expected = Duration(1000);
      work.enqueued = clock.Now();
      work.deadline = clock.Now() + std::chrono::hours(1);
      work.max_wait = std::chrono::hours(1);
      return work;
    };
    Duration retry{0};
    for (int i = 0; i < queued; ++i) queue.Offer(item(), clock.Now(), retry);
    offer_times.push_back(
        {1.0 * queued, MeanMicros(
                           [&] {
                             queue.Offer(item(), clock.Now(), retry);
                             for (const auto started :
                                  queue.StartQueued(clock.Now())) {
                               queue.Finish(started);
                             }
                           },
                           20'000)});
  }
  PrintLinearFit("offer, start and finish in a server's queue", "us", "queued",
                 offer_times);
  std::vector<Point> sketch_times;
  for (const int capacity : {64, 256, 1024, 4096}) {
    HotKeySketch sketch(static_cast<std::size_t>(capacity));
    std::uint64_t hash = 1;
    sketch_times.push_back(
        {1.0 * capacity, MeanMicros(
                             [&] {
                               hash = hash * 6364136223846793005ULL + 1;
                               sketch.Add(hash >> 40);
                             },
                             200'000)});
  }
  PrintLinearFit("hot-key sketch, one key", "us", "capacity", sketch_times);
}

}  // namespace
}  // namespace currantbeam

auto main() -> int {
  currantbeam::BenchRouting();
  currantbeam::BenchMessages();
  currantbeam::BenchPlacer();
  currantbeam::BenchPolicy();
  return 0;
}
