//===-- Identity.h - Identity of a request over its retries ---------------===//
#ifndef YARDRILL_LIBDECISION_IDENTITY_H
#define YARDRILL_LIBDECISION_IDENTITY_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstdint>
#include <string>

namespace yardrill::decision {

/// Source of an identity.
enum class IdentityKind : std::uint8_t {
  Ticket, ///< Issued by an instance, which alone may run the request.
  Key,    ///< Idempotency-Key of the caller; claimed before the request runs.
};

/// Refers to one incarnation of an instance. Two references are equal if they
/// have the same incarnation.
struct InstanceRef {
  core::IncarnationId m_Incarnation;
  config::Endpoint m_Peer; ///< Peer address (TCP).

  bool operator==(const InstanceRef &Other) const {
    return m_Incarnation == Other.m_Incarnation;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Peer);
  }
};

/// Identifies a request over its retries: requests with the same identity run
/// at most once. The owner of an identity is the instance that alone may run
/// its requests.
struct Identity {
  IdentityKind m_Kind = IdentityKind::Key;
  /// Unique over all client accounts, since it contains the account's name.
  std::string m_Name;
  /// Digest of method, path and body, which must be the same in each retry.
  std::uint64_t m_BodyDigest = 0;
  InstanceRef m_Owner; ///< Owner of a ticket; unused for a key.
  /// Expiry of a ticket in microseconds on its owner's steady clock; unused for
  /// a key. Only the owner reads it.
  std::int64_t m_ExpiresAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Name, m_BodyDigest, m_Owner, m_ExpiresAt);
  }
};

} // namespace yardrill::decision

#endif
