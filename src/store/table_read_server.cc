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

}  // namespace

TableReadServer::TableReadServer(RelayedStore& copies, StoreReader& own_store,
                                 double link_mbps, unsigned seed)
    : copies(copies),
      own_store(own_store),
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
  this->CompressIfLarge(request, update);
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
  const auto store_up_for = this->copies.StoreUpFor();
  auto batch =
      request.after
          ? this->own_store.Follow(request.table, *request.after, request.wait)
          : this->own_store.Read(request.table, request.partition);
  TableUpdate update;
  update.table = request.table;
  update.is_full = !request.after.has_value();
  update.version = batch.version;
  update.age = batch.age;
  update.store_time = batch.store_time;
  update.store_up_for = std::max(store_up_for - batch.age, Duration(0));
  // The changes are of all partitions, and the message names none.
  for (auto& row : batch.rows) {
    if (row.name.partition != request.partition) continue;
    update.rows.push_back(std::move(row));
  }
  return update;
}

auto TableReadServer::CompressIfLarge(const StoreReadRequest& request,
                                      TableUpdate& update) -> void {
  std::size_t bytes = 0;
  for (const auto& row : update.rows) bytes += row.value.size();
  if (bytes < kMinCompressedBytes) return;
  auto& latest = this->compressed;
  const bool is_same = latest.rows && latest.table == request.table &&
                       latest.partition == request.partition &&
                       latest.after == request.after &&
                       latest.version == update.version;
  if (!is_same) {
    latest = {request.table, request.partition, request.after, update.version,
              std::make_shared<const std::string>(
                  TableUpdate::CompressRows(update.rows))};
  }
  update.compressed_rows = latest.rows;
}

}  // namespace currantbeam
