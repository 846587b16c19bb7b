//===-- Action.h - All that the decision core asks for --------------------===//
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

/// Connect to the target and, if that succeeds, send the request. Given at
/// most once for each request, unless ConnectFailed came back.
struct Dispatch {
  core::RequestId m_Request;
  core::TargetName m_Target;
  config::Endpoint m_Address;
  bool m_StoreResponse = false; ///< Store it for a repeated identity.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Target, m_Address, m_StoreResponse);
  }
};

/// Answer the caller now; nothing more will be done for the request.
struct Refuse {
  core::RequestId m_Request;
  RefusalKind m_Kind = RefusalKind::NotReady;
  std::uint32_t m_RetryAfterSeconds = 0; ///< 0: not sent.
  /// Steady microseconds after which this may no longer be sent; 0: never.
  std::int64_t m_ValidUntil = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Kind, m_RetryAfterSeconds, m_ValidUntil);
  }
};

/// The caller left before dispatch; the request is forgotten, not run.
struct Drop {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// Stop a dispatched request at its target; ResponseEnded follows.
struct Cancel {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// Record in the platform's service that this instance is the key's home,
/// unless somebody is already; ClaimCompleted follows.
struct Claim {
  core::RequestId m_Request;
  std::string m_Identity;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Identity);
  }
};

/// Pass the request on to its home and its answer back.
struct Forward {
  core::RequestId m_Request;
  InstanceRef m_Owner;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Owner);
  }
};

/// Answer with the stored answer of an earlier request.
struct SendStoredResponse {
  core::RequestId m_Request;
  core::RequestId m_Original;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Original);
  }
};

/// The stored answer is no longer needed.
struct DiscardStoredResponse {
  core::RequestId m_Original;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Original); }
};

struct ReadThresholdRecord {
  core::PoolName m_Pool;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Pool); }
};

/// Compare-and-swap of the pool's record, with this instance as its leader.
struct WriteThresholdRecord {
  core::PoolName m_Pool;
  std::int64_t m_Revision = 0; ///< The record's, as read; 0: must be absent.
  ThresholdRecord m_Record;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Revision, m_Record);
  }
};

/// Give the pool's leadership up, so that another instance may take it.
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
