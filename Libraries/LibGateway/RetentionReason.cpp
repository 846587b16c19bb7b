//===-- RetentionReason.cpp - Why an absent instance still counts ---------===//
#include "LibGateway/RetentionReason.h"

namespace yardrill::gateway {

std::string toString(RetentionReason Reason) {
  switch (Reason) {
  case RetentionReason::RecentlySilent:
    return "recently-silent";
  case RetentionReason::Member:
    return "member";
  case RetentionReason::Leaseholder:
    return "leaseholder";
  case RetentionReason::Reporting:
    return "reporting";
  case RetentionReason::FewWitnesses:
    return "few-witnesses";
  case RetentionReason::WitnessOfOthers:
    return "witness-of-others";
  }
  return "?";
}

} // namespace yardrill::gateway
