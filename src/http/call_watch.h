#pragma once

#include <functional>
#include <list>

#include "http/http_client.h"

namespace currantbeam {

/// Breaks off calls that cannot be answered any more: while a watch exists,
/// its loop asks now and then whether the peer is known to be lost.
class CallWatch {
 public:
  /// @param is_lost  asked on the calling fiber's loop until the watch ends.
  CallWatch(HttpConnection& connection, std::function<bool()> is_lost);
  ~CallWatch();
  CallWatch(const CallWatch&) = delete;
  auto operator=(const CallWatch&) -> CallWatch& = delete;

  /// Asks all watches of the calling thread; run this every kInterval.
  static auto CheckAll() -> void;

  static constexpr auto kInterval = std::chrono::milliseconds(20);

 private:
  HttpConnection& connection;
  std::function<bool()> is_lost;
  std::list<CallWatch*>::iterator place;
};

}  // namespace currantbeam
