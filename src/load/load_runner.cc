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

constexpr auto kTimeout = std::chrono::milliseconds(60'000);

}  // namespace

/// One loop's part of the arrivals.
class LoadRunner::Worker {
 public:
  Worker(const Scenario& scenario, const Options& options,
         std::vector<Arrival> arrivals)
      : scenario(scenario), options(options), arrivals(std::move(arrivals)) {}

  auto Run(SteadyTime start) -> void {
    this->start = start;
    this->loop.Spawn([this] { this->Offer(); });
    this->loop.Run();
  }

  auto Result() -> LoadResult& { return this->result; }

 private:
  auto Offer() -> void {
    for (const auto& arrival : this->arrivals) {
      const auto due = this->start + arrival.at;
      const auto now = std::chrono::steady_clock::now();
      if (due > now) {
        SleepFor(
            std::chrono::duration_cast<std::chrono::microseconds>(due - now));
      }
      ++this->pending;
      this->loop.Spawn([this, &arrival] {
        this->Send(arrival);
        --this->pending;
        if (this->offered && this->pending == 0) this->loop.Stop();
      });
    }
    this->offered = true;
    if (this->pending == 0) this->loop.Stop();
  }

  auto MakeRequest(const LoadStream& stream, const Arrival& arrival)
      -> HttpRequest {
    const auto key = stream.name + "-" + std::to_string(arrival.key);
    HttpRequest request{http::string_to_verb(stream.method), stream.path + key,
                        11};
    request.set("x-neighbour", stream.neighbour);
    auto work = static_cast<double>(stream.work.count());
    if (arrival.is_long) work *= stream.straggler_factor;
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

  auto SecondOf(const std::string& name, const Arrival& arrival)
      -> StreamResult& {
    auto& seconds = this->result.seconds[name];
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(arrival.at).count());
    if (seconds.size() <= second) seconds.resize(second + 1);
    return seconds[second];
  }

  auto Note(const Arrival& arrival, std::uint64_t StreamResult::*field)
      -> void {
    const auto& name = this->scenario.streams[arrival.stream].name;
    ++(this->result.streams[name].*field);
    ++(this->SecondOf(name, arrival).*field);
  }

  auto Send(const Arrival& arrival) -> void {
    const auto& stream = this->scenario.streams[arrival.stream];
    this->Note(arrival, &StreamResult::sent);
    const auto& target = this->PickTarget(arrival);
    try {
      const auto response = Fetch(target.address, target.port,
                                  this->MakeRequest(stream, arrival), kTimeout);
      this->NoteAnswer(stream, arrival, response);
    } catch (const RequestError& error) {
      const bool not_run =
          error.GetExecutionStatus() == ExecutionStatus::kNotRun;
      this->Note(arrival,
                 not_run ? &StreamResult::refused : &StreamResult::broken);
    }
  }

  auto NoteAnswer(const LoadStream& stream, const Arrival& arrival,
                  const HttpResponse& response) -> void {
    if (response.result() != http::status::ok) {
      const bool not_run = response[kExecutionStatusHeader] == "not-run";
      this->Note(arrival,
                 not_run ? &StreamResult::refused : &StreamResult::failed);
      return;
    }
    if (response.body().size() != stream.answer_bytes) {
      this->Note(arrival, &StreamResult::broken);
      return;
    }
    this->Note(arrival, &StreamResult::answered);
    const auto latency = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - (this->start + arrival.at));
    auto& total = this->result.streams[stream.name];
    auto& second = this->SecondOf(stream.name, arrival);
    total.latency.Add(latency);
    second.latency.Add(latency);
    if (!arrival.is_long) {
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
  std::size_t pending = 0;
  std::size_t next = 0;
  bool offered = false;
};

LoadRunner::LoadRunner(const Scenario& scenario, Options options)
    : scenario(scenario), options(std::move(options)) {}

auto LoadRunner::Run() -> LoadResult {
  const auto arrivals = PlanArrivals(this->scenario);
  std::vector<std::vector<Arrival>> parts(this->options.workers);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    parts[i % parts.size()].push_back(arrivals[i]);
  }
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(parts.size());
  for (auto& part : parts) {
    workers.push_back(std::make_unique<Worker>(this->scenario, this->options,
                                               std::move(part)));
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
