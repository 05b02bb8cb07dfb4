#pragma once

#include <functional>
#include <list>

#include "http/http_connection.h"

namespace currantbeam {

/// Cancels the outstanding request on a connection once its peer is known to be
/// lost or the process has no more time for it, instead of waiting for the
/// request's timeout. Active while the object exists; `should_cancel` is
/// evaluated at each CheckAll() of the same thread.
class CancelOnPeerLoss {
 public:
  /// @param should_cancel  returns whether to cancel the request; called on the
  ///   thread of the constructor.
  CancelOnPeerLoss(HttpConnection& connection,
                   std::function<bool()> should_cancel);
  ~CancelOnPeerLoss();
  CancelOnPeerLoss(const CancelOnPeerLoss&) = delete;
  auto operator=(const CancelOnPeerLoss&) -> CancelOnPeerLoss& = delete;

  /// Evaluates all objects of the calling thread and cancels their requests
  /// where due. Each loop has to call this every kCheckInterval.
  static auto CheckAll() -> void;

  static constexpr auto kCheckInterval = std::chrono::milliseconds(20);

 private:
  HttpConnection& connection;
  std::function<bool()> should_cancel;
  std::list<CancelOnPeerLoss*>::iterator position;
};

}  // namespace currantbeam
