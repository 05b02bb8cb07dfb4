#include "store/table_read_server.h"

#include <algorithm>
#include <utility>

namespace currantbeam {
namespace {

/// What is being sent from copies occupies the link for at most this long.
constexpr double kMaxLinkSeconds = 0.2;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::size_t kMaxReceivers = 64;
/// The number of other hosts that are named to a host that is turned away.
constexpr std::size_t kReceiversNamed = 4;
/// The calls have timeouts of their own, which are shorter.
constexpr auto kMaxCallTime = std::chrono::minutes(2);
/// A call that has no response after this time may have lost it, and others
/// don't wait for it.
constexpr Duration kMaxResponseTime = std::chrono::milliseconds(100);
/// Rows of at least this size are sent compressed.
constexpr std::size_t kMinCompressedBytes = 4 * 1024;

/// Adds to a counter while it exists.
class Addition {
 public:
  Addition(std::size_t& counter, std::size_t amount)
      : counter(counter), amount(amount) {
    this->counter += this->amount;
  }
  ~Addition() { this->counter -= this->amount; }
  Addition(const Addition&) = delete;
  auto operator=(const Addition&) -> Addition& = delete;

 private:
  std::size_t& counter;
  std::size_t amount;
};

/// Compresses the rows of the update if they are large.
auto CompressIfLarge(TableUpdate& update) -> void {
  std::size_t bytes = 0;
  for (const auto& row : update.rows) bytes += row.value.size();
  if (bytes < kMinCompressedBytes) return;
  update.compressed_rows = std::make_shared<const std::string>(
      TableUpdate::CompressRows(update.rows));
}

}  // namespace

TableReadServer::TableReadServer(RelayedStore& copies, StoreReader& own_store,
                                 const Clock& clock, double link_mbps,
                                 unsigned seed)
    : copies(copies),
      own_store(own_store),
      clock(clock),
      max_bytes_in_flight(static_cast<std::size_t>(link_mbps * kMaxLinkSeconds *
                                                   kBytesPerMegabit)),
      random(seed) {}

auto TableReadServer::Serve(const StoreReadRequest& request,
                            const SendUpdate& send) -> void {
  if (request.after && request.partition.empty()) {
    const auto update = this->copies.CopySince(request.table, *request.after);
    // Small changes are read from the store, which has the latest ones. A host
    // that asks for changes of the store can't use a whole table.
    const bool is_large = update && update->compressed_rows;
    const bool is_usable =
        update && (request.is_of_copy || (is_large && !update->is_full));
    if (is_usable) {
      this->SendCopy(*update, request, send);
      return;
    }
  }
  if (request.is_of_copy) throw StoreError("host: the copy is not newer");
  auto update = this->ReadStore(request);
  CompressIfLarge(update);
  send(update);
}

auto TableReadServer::SendCopy(const TableUpdate& update,
                               const StoreReadRequest& request,
                               const SendUpdate& send) -> void {
  const auto bytes =
      update.compressed_rows ? update.compressed_rows->size() : std::size_t(0);
  const bool is_busy =
      this->bytes_in_flight != 0 &&
      this->bytes_in_flight + bytes > this->max_bytes_in_flight;
  if (is_busy) throw CopyBusy(this->ChooseReceivers(update));
  const Addition sending(this->bytes_in_flight, bytes);
  send(update);
  if (request.sender.empty()) return;
  this->receivers.push_back({request.sender, request.table, update.version});
  if (this->receivers.size() > kMaxReceivers) this->receivers.pop_front();
}

auto TableReadServer::ChooseReceivers(const TableUpdate& update)
    -> std::vector<std::string> {
  std::vector<std::string> chosen;
  for (const auto& receiver : this->receivers) {
    const bool has_rows =
        receiver.table == update.table && receiver.version >= update.version;
    if (has_rows) chosen.push_back(receiver.endpoint);
  }
  std::shuffle(chosen.begin(), chosen.end(), this->random);
  if (chosen.size() > kReceiversNamed) chosen.resize(kReceiversNamed);
  return chosen;
}

auto TableReadServer::ReadStore(const StoreReadRequest& request)
    -> TableUpdate {
  const auto requested_at = this->clock.Now();
  const auto call = this->JoinCall(request);
  if (call->error) std::rethrow_exception(call->error);
  TableUpdate update;
  update.table = request.table;
  update.is_full = !request.after.has_value();
  update.version = call->batch->version;
  update.age = requested_at - call->started_at;
  update.store_time = call->batch->store_time;
  update.store_up_for = call->store_up_for;
  // The changes are of all partitions, and the message names none.
  for (const auto& row : call->batch->rows) {
    if (row.name.partition == request.partition) update.rows.push_back(row);
  }
  return update;
}

auto TableReadServer::JoinCall(const StoreReadRequest& request)
    -> std::shared_ptr<Call> {
  const CallKey key{request.table, request.partition, request.after,
                    request.wait.count()};
  const auto it = this->calls.find(key);
  if (it != this->calls.end() && this->MayRespond(*it->second, request)) {
    auto call = it->second;
    while (!call->batch && !call->error) call->has_ended.WaitFor(kMaxCallTime);
    return call;
  }
  auto call = std::make_shared<Call>();
  call->started_at = this->clock.Now();
  call->store_up_for = this->copies.StoreUpFor();
  this->calls[key] = call;
  try {
    call->batch = this->MakeCall(request);
  } catch (const StoreError&) {
    call->error = std::current_exception();
  }
  const auto own = this->calls.find(key);
  if (own != this->calls.end() && own->second == call) this->calls.erase(own);
  call->has_ended.Notify();
  return call;
}

auto TableReadServer::MayRespond(const Call& call,
                                 const StoreReadRequest& request) const
    -> bool {
  const auto due_at = call.started_at + request.wait + kMaxResponseTime;
  return this->clock.Now() < due_at ||
         this->own_store.IsReceiving(request.table);
}

auto TableReadServer::MakeCall(const StoreReadRequest& request) -> RowBatch {
  if (!request.after) {
    return this->own_store.Read(request.table, request.partition);
  }
  return this->own_store.Follow(request.table, *request.after, request.wait);
}

}  // namespace currantbeam
