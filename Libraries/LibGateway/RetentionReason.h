//===-- RetentionReason.h - Why an absent instance still counts -----------===//
#ifndef YARDRILL_LIBGATEWAY_RETENTIONREASON_H
#define YARDRILL_LIBGATEWAY_RETENTIONREASON_H

#include "LibConfig/Endpoint.h"

#include <map>
#include <string>

namespace yardrill::gateway {

/// Why an instance that is not live, or no longer a member, stays in a list.
enum class RetentionReason {
  RecentlySilent, ///< It may be restarting.
  Member,         ///< It owns quotas and has not left the membership.
  Leaseholder,    ///< It has stopped, and still is a leaseholder.
  Reporting,      ///< It is heard, and has not known its removal for long.
  FewWitnesses,   ///< Too few of its witnesses have known its removal for long.
  /// Its removal changes the witnesses of owners that may not know of it.
  WitnessOfOthers,
};

std::string toString(RetentionReason Reason);

/// Retained instances, by peer address.
using RetainedInstances = std::map<config::Endpoint, RetentionReason>;

} // namespace yardrill::gateway

#endif
