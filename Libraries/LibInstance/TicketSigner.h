//===-- TicketSigner.h - Tickets for requests that must not run twice -----===//
#ifndef YARDRILL_LIBINSTANCE_TICKETSIGNER_H
#define YARDRILL_LIBINSTANCE_TICKETSIGNER_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibDecision/Identity.h"

#include <optional>
#include <string>

namespace yardrill::instance {

/// Issues and verifies tickets. A ticket has its owner instance, a serial
/// number and an expiry, is bound to one client account and signed with the
/// instances' shared key. Any instance can verify it, and no record of it is
/// stored.
class TicketSigner {
public:
  TicketSigner(std::string Key, decision::InstanceRef Self,
               core::Duration Lifetime);

  /// Issues a ticket that expires after lifetime().
  std::string issue(const core::AccountName &Account, core::TimePoint Now);
  /// Returns none for a ticket that is malformed, forged or of another
  /// account. The expiry is not checked: it is a time of the owner's clock.
  std::optional<decision::Identity>
  read(const std::string &Ticket, const core::AccountName &Account) const;
  core::Duration lifetime() const { return m_Lifetime; }

private:
  std::string m_Key;
  decision::InstanceRef m_Self;
  core::Duration m_Lifetime;
  std::uint64_t m_NextSerial = 1;
};

} // namespace yardrill::instance

#endif
