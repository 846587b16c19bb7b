//===-- Action.h - Actions that the decision core returns -----------------===//
//
// DecisionCore::handle() returns actions; LibInstance carries them out. Every
// struct is plain data that a trace can record.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBDECISION_ACTION_H
#define YARDRILL_LIBDECISION_ACTION_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibDecision/Identity.h"
#include "LibDecision/Refusal.h"
#include "LibDecision/ThresholdMessages.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>

namespace yardrill::decision {

/// Connects to the target and, if that succeeds, sends the request. Returned
/// again for the same request only after a ConnectFailed event.
struct Dispatch {
  core::RequestId m_Request;
  core::TargetName m_Target;
  config::Endpoint m_Address;
  /// Whether the response is stored for later requests with the same identity.
  bool m_StoreResponse = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Target, m_Address, m_StoreResponse);
  }
};

/// Refuses the request. The core forgets it, unless m_ValidUntil is set: then
/// RefusalSettled must follow.
struct Refuse {
  core::RequestId m_Request;
  RefusalKind m_Kind = RefusalKind::NotReady;
  std::uint32_t m_RetryAfterSeconds = 0; ///< 0: no Retry-After header.
  /// Time on the steady clock, in microseconds, after which the refusal must
  /// not be sent any longer; 0: no limit.
  std::int64_t m_ValidUntil = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Kind, m_RetryAfterSeconds, m_ValidUntil);
  }
};

/// Closes a request whose caller disconnected before dispatch. It was not run.
struct Drop {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// Cancels a dispatched request at its target; ResponseEnded follows.
struct Cancel {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// Claims an Idempotency-Key for this instance in the platform's key-value
/// service, unless the key has an owner; ClaimCompleted follows.
struct Claim {
  core::RequestId m_Request;
  std::string m_Identity;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Identity);
  }
};

/// Forwards the request to the owner of its identity and relays the response.
struct Forward {
  core::RequestId m_Request;
  InstanceRef m_Owner;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Owner);
  }
};

/// Answers a request with the stored response of an earlier one.
struct SendStoredResponse {
  core::RequestId m_Request;
  core::RequestId m_Original; ///< Request whose response was stored.
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Original);
  }
};

/// Discards the stored response of a request whose identity has expired.
struct DiscardStoredResponse {
  core::RequestId m_Original;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Original); }
};

/// Reads the pool's threshold record; ThresholdRecordRead follows, unless the
/// platform does not respond.
struct ReadThresholdRecord {
  core::PoolName m_Pool;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Pool); }
};

/// Writes the pool's threshold record by compare-and-swap, with this instance
/// as its leader; ThresholdRecordWritten follows.
struct WriteThresholdRecord {
  core::PoolName m_Pool;
  std::int64_t m_Revision = 0; ///< Expected revision; 0: expected absent.
  ThresholdRecord m_Record;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Revision, m_Record);
  }
};

/// Gives up the pool's leadership, so that another instance can take it.
struct ResignLeadership {
  core::PoolName m_Pool;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Pool); }
};

struct SendThresholdCommand {
  InstanceRef m_To;
  ThresholdCommand m_Command;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_To, m_Command); }
};

struct SendThresholdReport {
  InstanceRef m_To;
  ThresholdReport m_Report;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_To, m_Report); }
};

using Action =
    std::variant<Dispatch, Refuse, Drop, Cancel, Claim, Forward,
                 SendStoredResponse, DiscardStoredResponse, ReadThresholdRecord,
                 WriteThresholdRecord, ResignLeadership, SendThresholdCommand,
                 SendThresholdReport>;

} // namespace yardrill::decision

#endif
