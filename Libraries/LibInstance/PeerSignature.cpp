#include "LibInstance/PeerSignature.h"

#include "LibCore/Digest.h"

#include <charconv>
#include <cstdlib>

namespace yardrill::instance {

static const std::int64_t MaxClockDifferenceSeconds = 30;
static const std::string SignatureDomain = "yardrill-peer-request";

std::string PeerSignature::mac(const http::RequestMessage &Request) const {
  std::string Text = SignatureDomain + "\n" + Request.m_Method + "\n" +
                     Request.m_Target + "\n" + core::sha256Hex(Request.m_Body);
  for (const char *Name : {TimeHeader, AccountHeader, TierHeader, TicketHeader,
                           IdempotencyKeyHeader}) {
    const std::string *Value = Request.m_Headers.find(Name);
    // With its length, so that different headers never give the same text.
    std::string Part = Value ? *Value : "";
    Text += "\n" + std::to_string(Part.size()) + " " + Part;
  }
  return core::toHex(core::hmacSha256(m_Key, Text));
}

void PeerSignature::sign(http::RequestMessage &Request,
                         std::int64_t WallSeconds) const {
  Request.m_Headers.set(TimeHeader, std::to_string(WallSeconds));
  Request.m_Headers.set(SignatureHeader, mac(Request));
}

bool PeerSignature::isValid(const http::RequestMessage &Request,
                            std::int64_t WallSeconds) const {
  const std::string *Signature = Request.m_Headers.find(SignatureHeader);
  const std::string *Time = Request.m_Headers.find(TimeHeader);
  if (!Signature || !Time ||
      !core::isEqualConstantTime(*Signature, mac(Request)))
    return false;
  std::int64_t Sent = 0;
  std::from_chars(Time->data(), Time->data() + Time->size(), Sent);
  return std::abs(WallSeconds - Sent) <= MaxClockDifferenceSeconds;
}

} // namespace yardrill::instance
