#pragma once

#include <atomic>
#include <cstdint>

namespace currantbeam {

/// A limit on the memory that several holders use together. Thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(std::uint64_t limit) : limit(limit) {}

  /// The part of a budget that one holder uses, until it is released or
  /// destroyed.
  class Reservation {
   public:
    explicit Reservation(ByteBudget& budget) : budget(budget) {}
    ~Reservation() { this->Release(); }
    Reservation(const Reservation&) = delete;
    auto operator=(const Reservation&) -> Reservation& = delete;

    /// Enlarges the reservation to this size; does nothing if it is as large.
    /// @return false if the budget has no room, which leaves the reservation
    ///   as it was. The only holder is given any size.
    auto GrowTo(std::uint64_t bytes) -> bool;
    auto Release() -> void;

   private:
    ByteBudget& budget;
    std::uint64_t size = 0;
  };

 private:
  const std::uint64_t limit;
  std::atomic<std::uint64_t> reserved{0};
};

}  // namespace currantbeam
