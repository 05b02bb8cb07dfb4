#pragma once

#include <functional>
#include <list>

#include "http/http_client.h"

namespace currantbeam {

/// Cancels the outstanding request on a connection once its peer is known to be
/// lost, instead of waiting for the request's timeout. Active while the object
/// exists; `is_lost` is evaluated at each CheckAll() of the same thread.
class CancelOnPeerLoss {
 public:
  /// @param is_lost  returns whether the peer is lost; called on the thread of
  ///   the constructor.
  CancelOnPeerLoss(HttpConnection& connection, std::function<bool()> is_lost);
  ~CancelOnPeerLoss();
  CancelOnPeerLoss(const CancelOnPeerLoss&) = delete;
  auto operator=(const CancelOnPeerLoss&) -> CancelOnPeerLoss& = delete;

  /// Evaluates all objects of the calling thread and cancels the requests whose
  /// peer is lost. Each loop has to call this every kCheckInterval.
  static auto CheckAll() -> void;

  static constexpr auto kCheckInterval = std::chrono::milliseconds(20);

 private:
  HttpConnection& connection;
  std::function<bool()> is_lost;
  std::list<CancelOnPeerLoss*>::iterator position;
};

}  // namespace currantbeam
