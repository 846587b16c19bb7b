//===-- Identity.h - What makes two requests the same request -------------===//
#ifndef YARDRILL_LIBDECISION_IDENTITY_H
#define YARDRILL_LIBDECISION_IDENTITY_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstdint>
#include <string>

namespace yardrill::decision {

enum class IdentityKind : std::uint8_t {
  Ticket, ///< Issued by an instance, which alone may run the request.
  Key,    ///< The caller's own Idempotency-Key; claimed before it runs.
};

/// The instance that alone may run the requests of an identity.
struct InstanceRef {
  core::IncarnationId m_Incarnation;
  config::Endpoint m_Peer; ///< Its peer address, TCP.

  bool operator==(const InstanceRef &Other) const {
    return m_Incarnation == Other.m_Incarnation;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Incarnation, m_Peer);
  }
};

struct Identity {
  IdentityKind m_Kind = IdentityKind::Key;
  /// Unique over all client accounts: it contains the account's name.
  std::string m_Name;
  /// Of method, path and body; the same identity must come with the same.
  std::uint64_t m_BodyDigest = 0;
  InstanceRef m_Owner; ///< Of a ticket; unused for a key.
  /// Of a ticket: microseconds on its home's steady clock, which nobody else
  /// needs to read.
  std::int64_t m_ExpiresAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Name, m_BodyDigest, m_Owner, m_ExpiresAt);
  }
};

} // namespace yardrill::decision

#endif
