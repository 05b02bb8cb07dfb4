#include "runtime/worker_pool.h"

namespace currantbeam {

WorkerPool::WorkerPool(std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    this->loops.push_back(std::make_unique<FiberLoop>());
    auto* loop = this->loops.back().get();
    this->threads.emplace_back([loop] { loop->Run(); });
  }
}

WorkerPool::~WorkerPool() { this->Stop(); }

auto WorkerPool::Stop() -> void {
  for (auto& loop : this->loops) loop->Stop();
  for (auto& thread : this->threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace currantbeam
