#pragma once

#include <functional>

#include "store/store.h"

namespace currantbeam {

/// Forwards calls to a MemoryStore and records them.
class RecordingStore : public StoreClient {
 public:
  explicit RecordingStore(MemoryStore& store) : store(store) {}

  auto Read(const std::string& table, const std::string& partition)
      -> RowBatch override {
    ++this->reads;
    return this->store.Read(table, partition);
  }
  auto Follow(const std::string& table, StoreVersion after,
              std::chrono::milliseconds wait) -> RowBatch override {
    ++this->reads;
    this->last_wait = wait;
    if (this->on_follow) this->on_follow();
    return this->store.Follow(table, after, wait);
  }
  auto Write(const StoreWrite& write) -> WriteResult override {
    return this->store.Write(write);
  }

  int reads = 0;  ///< Number of Read() and Follow() calls.
  std::chrono::milliseconds last_wait{0};
  std::function<void()> on_follow;  ///< Called first by Follow().

 private:
  MemoryStore& store;
};

}  // namespace currantbeam
