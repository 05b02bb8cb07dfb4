#include "router/peer_reads.h"

#include <utility>
#include <vector>

#include "core/cbor.h"
#include "router/endpoint.h"

namespace currantbeam {
namespace {

/// Responses may hold a whole table.
constexpr std::uint64_t kMaxTableBytes = 32 * 1024 * 1024;

/// @return the names of hosts in CBOR.
auto EncodeHosts(const std::vector<std::string>& hosts) -> std::string {
  return ToCbor(hosts);
}

auto DecodeHosts(const std::string& text) -> std::vector<std::string> {
  return FromCbor(text, "hosts", [](const nlohmann::json& json) {
    return json.get<std::vector<std::string>>();
  });
}

auto SendBody(HttpExchange& exchange, http::status status, std::string body)
    -> void {
  HttpResponse response{status, 11};
  response.body() = std::move(body);
  exchange.Send(std::move(response));
}

auto DecodeBatch(const std::string& text, const StoreReadRequest& request)
    -> RowBatch {
  auto update = TableUpdate::Decode(text);
  RowBatch batch;
  batch.rows = std::move(update.rows);
  for (auto& row : batch.rows) row.name.partition = request.partition;
  batch.version = update.version;
  batch.store_time = update.store_time;
  batch.store_up_for = update.store_up_for;
  batch.age = update.age;
  batch.is_whole_table = update.is_full;
  return batch;
}

}  // namespace

auto HttpPeerLink::Send(const std::string& endpoint,
                        const StoreReadRequest& request,
                        std::chrono::milliseconds timeout) -> RowBatch {
  try {
    const auto target = ParseEndpoint(endpoint);
    HttpRequest message{http::verb::post, kStoreReadPath, 11};
    message.body() = request.Encode();
    const auto response = Fetch(target.address, target.port, std::move(message),
                                {timeout, kStallTimeout}, kMaxTableBytes);
    if (response.result() == http::status::gone) {
      throw HistoryLost("store: the requested change history was dropped",
                        TableUpdate::Decode(response.body()).version.epoch);
    }
    if (response.result() == http::status::too_many_requests) {
      throw CopyBusy(DecodeHosts(response.body()));
    }
    if (response.result() != http::status::ok) {
      throw StoreError("host: HTTP status " +
                       std::to_string(response.result_int()));
    }
    return DecodeBatch(response.body(), request);
  } catch (const RequestError& error) {
    throw StoreError(std::string("host: ") + error.what());
  } catch (const InputError& error) {
    throw StoreError(std::string("host: ") + error.what());
  }
}

auto RespondToStoreRead(HttpExchange& exchange, TableReadServer& reads)
    -> void {
  const auto request = StoreReadRequest::Decode(exchange.Request().body());
  try {
    reads.Serve(request, [&](const TableUpdate& update) {
      SendBody(exchange, http::status::ok, update.Encode());
    });
  } catch (const HistoryLost& lost) {
    TableUpdate update;
    update.table = request.table;
    update.version.epoch = lost.Epoch();
    SendBody(exchange, http::status::gone, update.Encode());
  } catch (const CopyBusy& busy) {
    SendBody(exchange, http::status::too_many_requests,
             EncodeHosts(busy.Others()));
  } catch (const StoreError& error) {
    SendBody(exchange, http::status::service_unavailable, error.what());
  }
}

}  // namespace currantbeam
