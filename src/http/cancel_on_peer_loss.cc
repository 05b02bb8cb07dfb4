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
                                   std::function<bool()> should_cancel)
    : connection(connection),
      should_cancel(std::move(should_cancel)),
      position(ActiveWatches().insert(ActiveWatches().end(), this)) {}

CancelOnPeerLoss::~CancelOnPeerLoss() { ActiveWatches().erase(this->position); }

auto CancelOnPeerLoss::CheckAll() -> void {
  for (auto* guard : ActiveWatches()) {
    if (guard->should_cancel()) guard->connection.Cancel();
  }
}

}  // namespace currantbeam
