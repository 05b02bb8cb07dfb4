#include "gateway/backend_dispatcher.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "core/events.h"
#include "gateway/response_relay.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr std::size_t kIdempotencyCacheCapacity = 100'000;
constexpr auto kIdempotencyRetention = std::chrono::minutes(10);
constexpr auto kGrantRecheckDelay = std::chrono::milliseconds(2);
constexpr auto kShedRetryDelay = std::chrono::milliseconds(5);
constexpr std::size_t kHotKeySketchSize = 256;
constexpr std::size_t kMaxReportedKeys = 16;
constexpr std::uint64_t kMinHotKeyCount = 50;
constexpr double kMinHotKeyShare = 0.02;

}  // namespace

/// A fiber that waits for a slot of a server.
struct BackendDispatcher::Waiter {
  explicit Waiter(FiberLoop& loop) : loop(loop), timer(loop.Io()) {}
  /// Ends the wait of the timer, on the waiter's loop.
  static auto Wake(const std::shared_ptr<Waiter>& waiter) -> void {
    boost::asio::post(waiter->loop.Io(), [waiter] { waiter->timer.cancel(); });
  }
  FiberLoop& loop;
  boost::asio::steady_timer timer;
  std::atomic<bool> started{false};
};

struct BackendDispatcher::ServerState {
  ServerState(BackendServer server, TimePoint now)
      : server(std::move(server)),
        queue(this->server.slots, now),
        sketch(kHotKeySketchSize) {}

  const BackendServer server;
  std::mutex mutex;  ///< Guards the members below.
  ServerQueue queue;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  ServiceTimes times;
  HotKeySketch sketch;
  std::unordered_map<SlotIndex, std::int64_t> slot_busy_us;
  std::uint64_t next_id = 1;
};

/// Holds one slot of a server until it is destroyed.
class BackendDispatcher::Permit {
 public:
  Permit(BackendDispatcher& dispatcher, std::shared_ptr<ServerState> server,
         std::uint64_t id)
      : dispatcher(dispatcher), server(std::move(server)), id(id) {}
  Permit(const Permit&) = delete;
  auto operator=(const Permit&) -> Permit& = delete;
  ~Permit() {
    const std::lock_guard lock(this->server->mutex);
    this->server->queue.Finish(this->id);
    this->dispatcher.StartQueuedRequests(*this->server);
  }

 private:
  BackendDispatcher& dispatcher;
  std::shared_ptr<ServerState> server;
  std::uint64_t id;
};

BackendDispatcher::BackendDispatcher(GatewayState& state, BackendClient& client)
    : state(state),
      client(client),
      idempotency_cache(kIdempotencyCacheCapacity, kIdempotencyRetention) {}
BackendDispatcher::~BackendDispatcher() = default;

auto BackendDispatcher::GetServerState(const RouteTarget& target)
    -> std::shared_ptr<ServerState> {
  const std::lock_guard lock(this->mutex);
  auto& server_state = this->servers[target.server.id];
  if (!server_state || !(server_state->server == target.server)) {
    server_state = std::make_shared<ServerState>(target.server,
                                                 this->state.GetClock().Now());
  }
  return server_state;
}

auto BackendDispatcher::StartQueuedRequests(ServerState& server) -> void {
  const auto now = this->state.GetClock().Now();
  for (const auto id : server.queue.StartQueued(now)) {
    const auto found = server.waiters.find(id);
    if (found == server.waiters.end()) continue;
    const auto waiter = found->second;
    server.waiters.erase(found);
    waiter->started = true;
    Waiter::Wake(waiter);
  }
}

auto BackendDispatcher::ServerStates()
    -> std::vector<std::shared_ptr<ServerState>> {
  std::vector<std::shared_ptr<ServerState>> states;
  const std::lock_guard lock(this->mutex);
  for (const auto& [id, server] : this->servers) states.push_back(server);
  return states;
}

auto BackendDispatcher::UpdateDeadlines() -> void {
  for (const auto& server : this->ServerStates()) {
    const std::lock_guard lock(server->mutex);
    for (const auto& [id, waiter] : server->waiters) Waiter::Wake(waiter);
  }
}

auto BackendDispatcher::AwaitStart(const RequestJob& job, Waiter& waiter)
    -> void {
  while (!waiter.started) {
    const auto time_left =
        this->state.ServerDeadline(job.deadline) - this->state.GetClock().Now();
    if (time_left <= Duration(0)) return;
    waiter.timer.expires_after(time_left);
    Await([&](auto handler) { waiter.timer.async_wait(handler); });
  }
}

auto BackendDispatcher::MakeWorkItem(const RequestJob& job, ServerState& server)
    -> WorkItem {
  WorkItem item;
  item.id = server.next_id++;
  item.class_name = job.request_class.name;
  item.neighbour = job.neighbour;
  item.enqueued = this->state.GetClock().Now();
  item.deadline = this->state.ServerDeadline(job.deadline);
  item.expected = server.times.Estimate(job.request_class.name, job.hash);
  item.is_long = server.times.IsLong(job.request_class.name, job.hash);
  const auto view = this->state.CurrentView();
  const std::lock_guard lock(this->policy_mutex);
  const auto policy = this->controller.PolicyFor(job.request_class.name);
  item.weight = policy.weight * view.configuration->ShareOf(job.neighbour);
  // Long requests may queue until their deadline; the waiting target of the
  // class applies to short ones only.
  item.max_wait =
      item.is_long ? Duration(job.request_class.deadline) : policy.max_wait;
  return item;
}

auto BackendDispatcher::WaitForSlot(RequestJob& job,
                                    const std::shared_ptr<ServerState>& server)
    -> std::unique_ptr<Permit> {
  auto waiter = std::make_shared<Waiter>(FiberLoop::Current());
  std::uint64_t id = 0;
  const auto now = this->state.GetClock().Now();
  {
    const std::lock_guard lock(server->mutex);
    const auto item = this->MakeWorkItem(job, *server);
    id = item.id;
    Duration retry_after{0};
    server->waiters.emplace(id, waiter);
    if (server->queue.Offer(item, now, retry_after) == Admission::kRefused) {
      server->waiters.erase(id);
      throw OverloadError("no room at server " + server->server.id.Value() +
                              " within the time allowed",
                          retry_after);
    }
    this->StartQueuedRequests(*server);
  }
  this->AwaitStart(job, *waiter);
  job.queue_time = this->state.GetClock().Now() - now;
  {
    const std::lock_guard lock(server->mutex);
    if (!waiter->started) {
      server->queue.CancelQueued(id);
      server->waiters.erase(id);
      throw OverloadError("deadline passed in the queue", Duration(0));
    }
  }
  auto permit = std::make_unique<Permit>(*this, server, id);
  {
    const std::lock_guard lock(this->policy_mutex);
    this->controller.OnStarted(job.request_class.name, job.queue_time);
  }
  const auto start_until = this->state.ServerDeadline(job.deadline);
  if (this->state.GetClock().Now() >= start_until) {
    throw OverloadError("deadline passed in the queue", Duration(0));
  }
  if (!this->FitsBeforeStop(job, *server)) {
    throw OverloadError("the gateway stops before the server can respond",
                        Duration(0));
  }
  return permit;
}

auto BackendDispatcher::FitsBeforeStop(const RequestJob& job,
                                       ServerState& server) -> bool {
  if (!this->state.IsDraining()) return true;
  const std::lock_guard lock(server.mutex);
  const auto expected = server.times.Estimate(job.request_class.name, job.hash);
  return this->state.GetClock().Now() + expected <=
         this->state.ServerDeadline(job.deadline);
}

auto BackendDispatcher::RecordUsage(const RequestJob& job, ServerState& server,
                                    SlotIndex slot, Duration busy) -> void {
  {
    const std::lock_guard lock(server.mutex);
    server.times.Observe(job.request_class.name, job.hash, busy);
    server.slot_busy_us[slot] += busy.count();
    server.sketch.Add(job.hash);
  }
  const std::lock_guard lock(this->policy_mutex);
  this->account.Add({job.neighbour, job.request_class.name, server.server.id},
                    busy);
}

auto BackendDispatcher::Relay(RequestJob& job, HttpExchange& exchange,
                              ServerState& server, BackendCall& call) -> void {
  ResponseRelay relay(exchange, this->state.GetClock(), job.deadline);
  const bool caches_response =
      !job.idempotency_key.empty() && !job.request_class.idempotent;
  if (caches_response) relay.EnableCapture();
  auto head = call.Head();
  head.erase(backend_headers::kBusy);
  SetVerdict(head, Verdict::kRan);
  head.set(response_headers::kQueueTime,
           std::to_string(job.queue_time.count()));
  head.set(response_headers::kServer, server.server.id.Value());
  relay.Run(call, std::move(head));
  if (!caches_response) return;
  const std::lock_guard lock(this->policy_mutex);
  this->idempotency_cache.Complete(job.idempotency_key,
                                   relay.CapturedResponse());
}

auto BackendDispatcher::SendAndRelay(RequestJob& job, HttpExchange& exchange,
                                     ServerState& server, SlotIndex slot)
    -> void {
  const auto& id = server.server.id;
  bool work_begun = false;
  BackendRequest request;
  request.request = job.request;
  request.slot = slot;
  const auto& clock = this->state.GetClock();
  request.deadline =
      TimeLeft(this->state.ServerDeadline(job.deadline), clock.Now());
  TimePoint sent_at;
  request.authorize = [&]() -> std::optional<FencingToken> {
    return this->state.WithAgent([&](GatewayAgent& agent) {
      const auto token = agent.DrivenServers().DispatchToken(id, slot);
      if (token.has_value() && !job.request_class.idempotent) {
        agent.DrivenServers().BeginWork(id, slot);
        work_begun = true;
      }
      sent_at = clock.Now();
      return token;
    });
  };
  request.should_cancel = [this, id, &exchange] {
    if (this->state.MustRespond() && !exchange.HasStarted()) return true;
    return this->state.WithAgent([&](GatewayAgent& agent) {
      return agent.DrivenServers().HasLapsed(id);
    });
  };
  const auto end_work = [&] {
    if (!work_begun) return;
    this->state.WithAgent(
        [&](GatewayAgent& agent) { agent.DrivenServers().EndWork(id, slot); });
    work_begun = false;
  };
  std::unique_ptr<BackendCall> call;
  try {
    call = this->client.Send(server.server, request);
    if (call->Outcome() == BackendOutcome::kAnswered) {
      this->Relay(job, exchange, server, *call);
    }
  } catch (const RequestError& error) {
    end_work();
    if (error.GetVerdict() != Verdict::kNotRun) {
      const auto busy = call ? call->BusyTime() : std::nullopt;
      this->RecordUsage(job, server, slot,
                        busy.value_or(clock.Now() - sent_at));
    }
    throw;
  }
  end_work();
  switch (call->Outcome()) {
    case BackendOutcome::kAnswered:
      this->RecordUsage(job, server, slot,
                        call->BusyTime().value_or(clock.Now() - sent_at));
      break;
    case BackendOutcome::kShed: {
      const std::lock_guard lock(server.mutex);
      server.queue.Limit().OnShed(clock.Now());
      throw ShedError("server " + id.Value() + " shed the request");
    }
    case BackendOutcome::kNotOwner:
      throw RerouteError("server " + id.Value() + " holds no grant");
  }
  const std::lock_guard lock(server.mutex);
  server.queue.Limit().OnResponse(clock.Now());
}

auto BackendDispatcher::SendWithRetries(
    RequestJob& job, HttpExchange& exchange,
    const std::shared_ptr<ServerState>& server, SlotIndex slot) -> void {
  while (true) {
    try {
      const auto permit = this->WaitForSlot(job, server);
      this->SendAndRelay(job, exchange, *server, slot);
      return;
    } catch (const ShedError&) {
      const std::lock_guard lock(this->policy_mutex);
      if (!this->retry_budget.TryRetry()) throw;
    }
    this->state.GetMetrics().CountRetry();
    SleepFor(kShedRetryDelay);
  }
}

auto BackendDispatcher::RunWithGrant(RequestJob& job, HttpExchange& exchange,
                                     const Route& route) -> void {
  const auto& server_id = route.target->server.id;
  const auto server = this->GetServerState(*route.target);
  const auto has_grant = [&] {
    return this->state.WithAgent([&](GatewayAgent& agent) {
      return agent.DrivenServers()
          .DispatchToken(server_id, route.slot)
          .has_value();
    });
  };
  if (!has_grant()) {
    SleepFor(kGrantRecheckDelay);
    if (!has_grant()) throw RerouteError("no grant in force yet");
  }
  try {
    this->SendWithRetries(job, exchange, server, route.slot);
  } catch (const OverloadError&) {
    throw;
  } catch (const RequestError& error) {
    // Nothing was sent: the server may be down, or the slot may have moved to
    // another server, so the caller looks the route up again.
    if (error.GetVerdict() != Verdict::kNotRun) throw;
    throw RerouteError(error.what());
  }
}

auto BackendDispatcher::Run(RequestJob& job, HttpExchange& exchange) -> void {
  const auto view = this->state.CurrentView();
  const auto* service = view.routes ? view.routes->Find(job.service) : nullptr;
  if (service == nullptr) throw RerouteError("no routes yet");
  const auto route = service->Find(job.hash);
  if (route.target == nullptr ||
      route.target->gateway != this->state.Settings().host) {
    throw RerouteError("not the driver of slot " + std::to_string(route.slot));
  }
  if (route.moving) throw RerouteError("slot is moving");
  {
    const std::lock_guard lock(this->policy_mutex);
    this->retry_budget.OnRequest();
  }
  const bool is_deduplicated =
      !job.idempotency_key.empty() && !job.request_class.idempotent;
  if (is_deduplicated) {
    IdempotencyCache::LookupResult found;
    {
      const std::lock_guard lock(this->policy_mutex);
      found = this->idempotency_cache.Begin(job.idempotency_key,
                                            this->state.GetClock().Now());
    }
    if (found.state != IdempotencyCache::State::kNew) {
      Log(events::kReplayed, {{"class", job.request_class.name.Value()},
                              {"idempotency_key", job.idempotency_key}});
      SendCachedResponse(exchange, found);
      return;
    }
  }
  bool completed = false;
  const auto record_finish = [&] {
    const std::lock_guard lock(this->policy_mutex);
    this->controller.OnFinished(job.request_class.name, completed);
  };
  try {
    this->RunWithGrant(job, exchange, route);
    completed = this->state.GetClock().Now() <= job.deadline;
    record_finish();
  } catch (const RequestError& error) {
    const bool not_run = error.GetVerdict() == Verdict::kNotRun;
    if (is_deduplicated && not_run) {
      const std::lock_guard lock(this->policy_mutex);
      this->idempotency_cache.Discard(job.idempotency_key);
    }
    if (dynamic_cast<const RerouteError*>(&error) == nullptr) record_finish();
    throw;
  }
}

auto BackendDispatcher::TryRetry() -> bool {
  const std::lock_guard lock(this->policy_mutex);
  return this->retry_budget.TryRetry();
}

auto BackendDispatcher::SetConfiguration(const Configuration& configuration)
    -> void {
  const std::lock_guard lock(this->policy_mutex);
  this->controller.SetTargets(configuration.classes);
}

auto BackendDispatcher::AdjustWeights() -> void {
  const std::lock_guard lock(this->policy_mutex);
  this->controller.Adjust();
}

auto BackendDispatcher::FillReport(Report& report) -> void {
  for (const auto& server : this->ServerStates()) {
    const std::lock_guard lock(server->mutex);
    for (const auto& [slot, busy] : server->slot_busy_us) {
      report.loads.push_back({server->server.service, slot, busy});
    }
    server->slot_busy_us.clear();
    const auto min_count = std::max(
        kMinHotKeyCount,
        static_cast<std::uint64_t>(
            kMinHotKeyShare * static_cast<double>(server->sketch.Total())));
    auto hot = server->sketch.KeysAtLeast(min_count);
    if (hot.size() > kMaxReportedKeys) hot.resize(kMaxReportedKeys);
    for (const auto& key : hot) {
      report.hot_keys.push_back({server->server.service, key.hash, key.count});
    }
    server->sketch.Halve();
  }
}

auto BackendDispatcher::GetAccount() -> std::pair<Account, std::uint64_t> {
  const std::lock_guard lock(this->policy_mutex);
  return {this->account, this->account.ChangeCount()};
}

}  // namespace currantbeam
