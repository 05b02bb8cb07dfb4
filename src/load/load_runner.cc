#include "load/load_runner.h"

#include <xxhash.h>

#include <cstdlib>
#include <thread>
#include <utility>

#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto kRequestTimeout = std::chrono::milliseconds(60'000);

}  // namespace

/// Sends a share of the arrivals, on a loop and thread of its own.
class LoadRunner::Worker {
 public:
  Worker(const Scenario& scenario, const Options& options,
         std::vector<Arrival> arrivals)
      : scenario(scenario), options(options), arrivals(std::move(arrivals)) {}

  auto Run(SteadyTime start) -> void {
    this->start = start;
    this->loop.Spawn([this] { this->SendOnSchedule(); });
    this->loop.Run();
  }

  auto Result() -> LoadResult& { return this->result; }

 private:
  auto SendOnSchedule() -> void {
    for (const auto& arrival : this->arrivals) {
      const auto planned_at = this->start + arrival.at;
      const auto now = std::chrono::steady_clock::now();
      if (planned_at > now) {
        SleepFor(std::chrono::duration_cast<std::chrono::microseconds>(
            planned_at - now));
      }
      ++this->in_flight;
      this->loop.Spawn([this, &arrival] {
        this->Send(arrival);
        --this->in_flight;
        if (this->all_sent && this->in_flight == 0) this->loop.Stop();
      });
    }
    this->all_sent = true;
    if (this->in_flight == 0) this->loop.Stop();
  }

  auto MakeRequest(const LoadStream& stream, const Arrival& arrival)
      -> HttpRequest {
    const auto key = stream.name + "-" + std::to_string(arrival.key);
    HttpRequest request{http::string_to_verb(stream.method), stream.path + key,
                        11};
    request.set("x-neighbour", stream.neighbour);
    auto work = static_cast<double>(stream.work.count());
    if (arrival.is_straggler) work *= stream.straggler_factor;
    request.set("x-work-us", std::to_string(static_cast<std::int64_t>(work)));
    request.set("x-answer-bytes", std::to_string(stream.answer_bytes));
    return request;
  }

  auto PickTarget(const Arrival& arrival) -> const Endpoint& {
    const auto& targets = this->options.targets;
    if (!this->options.by_hash) return targets[this->next++ % targets.size()];
    const auto hash =
        XXH3_64bits_withSeed(&arrival.key, sizeof(arrival.key), arrival.stream);
    return targets[hash % targets.size()];
  }

  auto ResultForSecond(const std::string& name, const Arrival& arrival)
      -> StreamResult& {
    auto& seconds = this->result.seconds[name];
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(arrival.at).count());
    if (seconds.size() <= second) seconds.resize(second + 1);
    return seconds[second];
  }

  auto Count(const Arrival& arrival, std::uint64_t StreamResult::*field)
      -> void {
    const auto& name = this->scenario.streams[arrival.stream].name;
    ++(this->result.streams[name].*field);
    ++(this->ResultForSecond(name, arrival).*field);
  }

  auto Send(const Arrival& arrival) -> void {
    const auto& stream = this->scenario.streams[arrival.stream];
    this->Count(arrival, &StreamResult::sent);
    const auto& target = this->PickTarget(arrival);
    try {
      const auto response = Fetch(
          target.address, target.port, this->MakeRequest(stream, arrival),
          kRequestTimeout, stream.answer_bytes + kDefaultMaxResponseBytes);
      this->RecordResponse(stream, arrival, response);
    } catch (const RequestError& error) {
      const bool not_run = error.GetVerdict() == Verdict::kNotRun;
      this->Count(arrival,
                  not_run ? &StreamResult::refused : &StreamResult::broken);
    }
  }

  auto RecordResponse(const LoadStream& stream, const Arrival& arrival,
                      const HttpResponse& response) -> void {
    if (response.result() != http::status::ok) {
      const bool not_run = response[kVerdictHeader] == "not-run";
      this->Count(arrival,
                  not_run ? &StreamResult::refused : &StreamResult::failed);
      return;
    }
    if (response.body().size() != stream.answer_bytes) {
      this->Count(arrival, &StreamResult::broken);
      return;
    }
    this->Count(arrival, &StreamResult::answered);
    const auto latency = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - (this->start + arrival.at));
    auto& total = this->result.streams[stream.name];
    auto& second = this->ResultForSecond(stream.name, arrival);
    total.latency.Add(latency);
    second.latency.Add(latency);
    if (!arrival.is_straggler) {
      auto wait = latency - Duration(stream.work);
      const auto waited = response.find("currantbeam-waited-us");
      if (waited != response.end()) {
        wait = Duration(
            std::strtoll(std::string(waited->value()).c_str(), nullptr, 10));
      }
      total.short_wait.Add(wait);
      second.short_wait.Add(wait);
    }
    const auto server = response.find("currantbeam-server");
    if (server != response.end()) {
      ++this->result.servers[std::string(server->value())];
    }
  }

  const Scenario& scenario;
  const Options& options;
  std::vector<Arrival> arrivals;
  FiberLoop loop;
  SteadyTime start;
  LoadResult result;
  std::size_t in_flight = 0;
  std::size_t next = 0;
  bool all_sent = false;
};

LoadRunner::LoadRunner(const Scenario& scenario, Options options)
    : scenario(scenario), options(std::move(options)) {}

auto LoadRunner::Run() -> LoadResult {
  const auto arrivals = PlanArrivals(this->scenario);
  std::vector<std::vector<Arrival>> arrivals_by_worker(this->options.workers);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals_by_worker[i % arrivals_by_worker.size()].push_back(arrivals[i]);
  }
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(arrivals_by_worker.size());
  for (auto& worker_arrivals : arrivals_by_worker) {
    workers.push_back(std::make_unique<Worker>(this->scenario, this->options,
                                               std::move(worker_arrivals)));
  }
  const auto start =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (auto& worker : workers) {
    threads.emplace_back([&worker, start] { worker->Run(start); });
  }
  for (auto& thread : threads) thread.join();
  LoadResult result;
  result.scenario = this->scenario.name;
  for (auto& worker : workers) result.Merge(worker->Result());
  return result;
}

}  // namespace currantbeam
