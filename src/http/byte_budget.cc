#include "http/byte_budget.h"

namespace currantbeam {

auto ByteBudget::Reservation::GrowTo(std::uint64_t bytes) -> bool {
  if (bytes <= this->size) return true;
  const auto growth = bytes - this->size;
  auto& reserved = this->budget.reserved;
  auto current = reserved.load();
  do {
    const bool is_only_holder = current == this->size;
    const bool has_room =
        current <= this->budget.limit && growth <= this->budget.limit - current;
    if (!has_room && !is_only_holder) return false;
  } while (!reserved.compare_exchange_weak(current, current + growth));
  this->size = bytes;
  return true;
}

auto ByteBudget::Reservation::Release() -> void {
  this->budget.reserved -= this->size;
  this->size = 0;
}

}  // namespace currantbeam
