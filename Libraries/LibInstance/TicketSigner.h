//===-- TicketSigner.h - Tickets for requests that may not be repeated ----===//
#ifndef YARDRILL_LIBINSTANCE_TICKETSIGNER_H
#define YARDRILL_LIBINSTANCE_TICKETSIGNER_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibDecision/Identity.h"

#include <optional>
#include <string>

namespace yardrill::instance {

/// A ticket names its home instance, a serial and an expiry, is bound to one
/// client account and signed with the instances' shared key. Any instance can
/// read it; issuing one leaves nothing to remember.
class TicketSigner {
public:
  TicketSigner(std::string Key, decision::InstanceRef Self,
               core::Duration Lifetime);

  std::string issue(const core::AccountName &Account, core::TimePoint Now);
  /// \returns nothing for a ticket that is forged or of another account.
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
