#include "LibInstance/TicketSigner.h"

#include "LibCore/Digest.h"

#include <charconv>
#include <sstream>
#include <vector>

namespace yardrill::instance {

/// Number of fields of
/// `1.incarnation.serial.expiry.peer-port.peer-address-hex.mac`.
/// Numbers are decimal; the expiry is in microseconds of the owner's steady
/// clock.
static const std::size_t PartCount = 7;
static const std::string FormatVersion = "1";
static const std::string SignatureDomain = "yardrill-ticket";

TicketSigner::TicketSigner(std::string Key, decision::InstanceRef Self,
                           core::Duration Lifetime)
    : m_Key(std::move(Key)), m_Self(std::move(Self)), m_Lifetime(Lifetime) {}

static std::string mac(const std::string &Key, const std::string &Text,
                       const core::AccountName &Account) {
  return core::toHex(core::hmacSha256(Key, SignatureDomain + "\n" +
                                               Account.value() + "\n" + Text));
}

std::string TicketSigner::issue(const core::AccountName &Account,
                                core::TimePoint Now) {
  std::int64_t Expiry = (Now + m_Lifetime).time_since_epoch().count();
  std::string Text =
      FormatVersion + "." + std::to_string(m_Self.m_Incarnation.value()) + "." +
      std::to_string(m_NextSerial++) + "." + std::to_string(Expiry) + "." +
      std::to_string(m_Self.m_Peer.m_Port) + "." +
      core::toHex(m_Self.m_Peer.m_Address);
  return Text + "." + mac(m_Key, Text, Account);
}

template <class Number>
static bool readNumber(const std::string &Text, Number &Out) {
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Out);
  return Code == std::errc() && Last == End;
}

std::optional<decision::Identity>
TicketSigner::read(const std::string &Ticket,
                   const core::AccountName &Account) const {
  std::vector<std::string> Parts;
  std::istringstream In(Ticket);
  for (std::string Part; std::getline(In, Part, '.');)
    Parts.push_back(Part);
  if (Parts.size() != PartCount || Parts[0] != FormatVersion)
    return std::nullopt;
  std::string Text = Ticket.substr(0, Ticket.rfind('.'));
  if (!core::isEqualConstantTime(Parts.back(), mac(m_Key, Text, Account)))
    return std::nullopt;
  decision::Identity Out;
  Out.m_Kind = decision::IdentityKind::Ticket;
  Out.m_Name = "ticket " + Parts[1] + " " + Parts[2];
  std::uint64_t Incarnation = 0;
  if (!readNumber(Parts[1], Incarnation) ||
      !readNumber(Parts[3], Out.m_ExpiresAt) ||
      !readNumber(Parts[4], Out.m_Owner.m_Peer.m_Port))
    return std::nullopt;
  Out.m_Owner.m_Incarnation = core::IncarnationId(Incarnation);
  Out.m_Owner.m_Peer.m_Address = core::fromHex(Parts[5]);
  return Out;
}

} // namespace yardrill::instance
