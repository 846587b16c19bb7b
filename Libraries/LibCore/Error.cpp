#include "LibCore/Error.h"

namespace yardrill::core {

const char *toString(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Usage:
    return "usage";
  case ErrorKind::Settings:
    return "settings";
  case ErrorKind::Configuration:
    return "configuration";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Refused:
    return "refused";
  case ErrorKind::OutcomeUnknown:
    return "outcome-unknown";
  case ErrorKind::Protocol:
    return "protocol";
  case ErrorKind::BudgetSpent:
    return "budget-spent";
  case ErrorKind::AddressInUse:
    return "address-in-use";
  case ErrorKind::LimitExceeded:
    return "limit-exceeded";
  case ErrorKind::Trace:
    return "trace";
  case ErrorKind::Policy:
    return "policy";
  }
  return "unknown";
}

Error::Error(ErrorKind Kind, const std::string &Detail)
    : std::runtime_error(std::string(toString(Kind)) + ": " + Detail),
      m_Kind(Kind), m_Detail(Detail) {}

} // namespace yardrill::core
