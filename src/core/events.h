#pragma once

#include "core/log_event.h"

/// All log events; docs/EVENTS.md describes each of them. A unit test checks
/// that numbers and names match that page.
namespace currantbeam::events {

constexpr LogEvent kProcessStarted{100, LogLevel::kInfo, "process-started"};
constexpr LogEvent kProcessDraining{101, LogLevel::kInfo, "process-draining"};
constexpr LogEvent kProcessStopped{102, LogLevel::kInfo, "process-stopped"};
constexpr LogEvent kDrainCutShort{103, LogLevel::kError, "drain-cut-short"};

constexpr LogEvent kLogDropped{104, LogLevel::kWarn, "log-dropped"};

constexpr LogEvent kPlacerRole{200, LogLevel::kInfo, "placer-role"};
constexpr LogEvent kSlotAssigned{201, LogLevel::kInfo, "slot-assigned"};
constexpr LogEvent kDriverOrdered{202, LogLevel::kInfo, "driver-ordered"};
constexpr LogEvent kServerLapsed{205, LogLevel::kWarn, "server-lapsed"};
constexpr LogEvent kFollowingPlacer{206, LogLevel::kInfo, "following-placer"};

constexpr LogEvent kRouted{300, LogLevel::kInfo, "routed"};
constexpr LogEvent kRefused{301, LogLevel::kWarn, "refused"};
constexpr LogEvent kRetried{302, LogLevel::kInfo, "retried"};
constexpr LogEvent kFailed{303, LogLevel::kWarn, "failed"};
constexpr LogEvent kAnswerCut{304, LogLevel::kWarn, "answer-cut"};
constexpr LogEvent kAttemptFailed{306, LogLevel::kWarn, "attempt-failed"};
constexpr LogEvent kOwnerGone{307, LogLevel::kInfo, "owner-gone"};
constexpr LogEvent kRequestCut{308, LogLevel::kError, "request-cut"};
constexpr LogEvent kServerEnded{320, LogLevel::kWarn, "server-ended"};
constexpr LogEvent kRequestQuarantined{321, LogLevel::kWarn,
                                       "request-quarantined"};
constexpr LogEvent kRequestReleased{322, LogLevel::kInfo, "request-released"};
constexpr LogEvent kQuarantineUnread{323, LogLevel::kWarn, "quarantine-unread"};
constexpr LogEvent kReplayed{305, LogLevel::kInfo, "replayed"};

constexpr LogEvent kPlatformLost{400, LogLevel::kWarn, "platform-lost"};
constexpr LogEvent kPlatformBack{401, LogLevel::kInfo, "platform-back"};
constexpr LogEvent kCommitConflict{402, LogLevel::kWarn, "commit-conflict"};
constexpr LogEvent kCommitUnknown{403, LogLevel::kWarn, "commit-unknown"};

constexpr LogEvent kConfigStored{500, LogLevel::kInfo, "config-stored"};
constexpr LogEvent kConfigInForce{501, LogLevel::kInfo, "config-in-force"};
constexpr LogEvent kConfigRefused{502, LogLevel::kWarn, "config-refused"};

constexpr LogEvent kBadRequest{600, LogLevel::kWarn, "bad-request"};
constexpr LogEvent kBadPeerMessage{601, LogLevel::kWarn, "bad-peer-message"};
constexpr LogEvent kBadCommand{602, LogLevel::kWarn, "bad-command"};
constexpr LogEvent kBadDocument{603, LogLevel::kError, "bad-document"};

constexpr LogEvent kAccountFlushed{700, LogLevel::kInfo, "account-flushed"};

constexpr LogEvent kKeeperRole{800, LogLevel::kInfo, "keeper-role"};
constexpr LogEvent kOwnersCommitted{801, LogLevel::kInfo, "owners-committed"};
constexpr LogEvent kOwnersUnread{802, LogLevel::kWarn, "owners-unread"};
constexpr LogEvent kGrantRefused{803, LogLevel::kWarn, "grant-refused"};

constexpr LogEvent kReportLost{804, LogLevel::kInfo, "report-lost"};

constexpr LogEvent kUpdateLost{805, LogLevel::kInfo, "update-lost"};
constexpr LogEvent kHandoverDropped{806, LogLevel::kWarn, "handover-dropped"};

constexpr LogEvent kRoutesInForce{900, LogLevel::kInfo, "routes-in-force"};
constexpr LogEvent kRoutesUnread{901, LogLevel::kError, "routes-unread"};
constexpr LogEvent kBackendKnown{902, LogLevel::kInfo, "backend-known"};
constexpr LogEvent kBackendGone{903, LogLevel::kInfo, "backend-gone"};
constexpr LogEvent kBackendUnread{904, LogLevel::kWarn, "backend-unread"};
constexpr LogEvent kTableLost{905, LogLevel::kWarn, "table-lost"};
constexpr LogEvent kTableBack{906, LogLevel::kInfo, "table-back"};
constexpr LogEvent kSettingsReloaded{907, LogLevel::kInfo, "settings-reloaded"};
constexpr LogEvent kStoreRolledBack{908, LogLevel::kWarn, "store-rolled-back"};
constexpr LogEvent kBackendOutdated{910, LogLevel::kInfo, "backend-outdated"};
constexpr LogEvent kServerLeaving{911, LogLevel::kInfo, "server-leaving"};
constexpr LogEvent kServerPaused{912, LogLevel::kInfo, "server-paused"};
constexpr LogEvent kTableUpdated{913, LogLevel::kInfo, "table-updated"};
constexpr LogEvent kBackendKept{914, LogLevel::kInfo, "backend-kept"};
constexpr LogEvent kStoreCallFailed{915, LogLevel::kWarn, "store-call-failed"};
constexpr LogEvent kReadThroughPeer{916, LogLevel::kInfo, "read-through-peer"};
constexpr LogEvent kCopyFetched{917, LogLevel::kInfo, "copy-fetched"};
constexpr LogEvent kLoopLate{918, LogLevel::kInfo, "loop-late"};
constexpr LogEvent kServerAsked{919, LogLevel::kInfo, "server-asked"};
constexpr LogEvent kFiberFailed{920, LogLevel::kError, "fiber-failed"};

}  // namespace currantbeam::events
