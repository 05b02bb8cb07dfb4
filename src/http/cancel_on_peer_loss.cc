#include "http/cancel_on_peer_loss.h"

#include <utility>

namespace currantbeam {
namespace {

auto ActiveWatches() -> std::list<CancelOnPeerLoss*>& {
  thread_local std::list<CancelOnPeerLoss*> active;
  return active;
}

}  // namespace

CancelOnPeerLoss::CancelOnPeerLoss(HttpConnection& connection,
                                   std::function<bool()> is_lost)
    : connection(connection),
      is_lost(std::move(is_lost)),
      position(ActiveWatches().insert(ActiveWatches().end(), this)) {}

CancelOnPeerLoss::~CancelOnPeerLoss() { ActiveWatches().erase(this->position); }

auto CancelOnPeerLoss::CheckAll() -> void {
  for (auto* guard : ActiveWatches()) {
    if (guard->is_lost()) guard->connection.Cancel();
  }
}

}  // namespace currantbeam
