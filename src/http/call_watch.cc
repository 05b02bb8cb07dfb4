#include "http/call_watch.h"

#include <utility>

namespace currantbeam {
namespace {

auto Watches() -> std::list<CallWatch*>& {
  thread_local std::list<CallWatch*> watches;
  return watches;
}

}  // namespace

CallWatch::CallWatch(HttpConnection& connection, std::function<bool()> is_lost)
    : connection(connection),
      is_lost(std::move(is_lost)),
      place(Watches().insert(Watches().end(), this)) {}

CallWatch::~CallWatch() { Watches().erase(this->place); }

auto CallWatch::CheckAll() -> void {
  for (auto* watch : Watches()) {
    if (watch->is_lost()) watch->connection.Cancel();
  }
}

}  // namespace currantbeam
