#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "runtime/fiber_loop.h"

namespace currantbeam {

/// A fixed number of FiberLoops, each on its own thread.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t size);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  auto operator=(const WorkerPool&) -> WorkerPool& = delete;

  [[nodiscard]] auto Size() const -> std::size_t { return this->loops.size(); }
  auto Loop(std::size_t index) -> FiberLoop& { return *this->loops[index]; }
  /// Stops all loops and joins their threads.
  auto Stop() -> void;

 private:
  std::vector<std::unique_ptr<FiberLoop>> loops;
  std::vector<std::thread> threads;
};

}  // namespace currantbeam
