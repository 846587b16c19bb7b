//===-- MemberReport.h - What an instance has reported last ---------------===//
#ifndef YARDRILL_LIBGATEWAY_MEMBERREPORT_H
#define YARDRILL_LIBGATEWAY_MEMBERREPORT_H

#include "LibConfig/Endpoint.h"
#include "LibPlatform/Revision.h"

#include <map>

namespace yardrill::gateway {

/// What an instance has reported last.
struct MemberReport {
  platform::Revision m_Revision; ///< Revision up to which it knows the store.
  bool m_IsStopping = false;
};

/// Reports of live instances, by peer address.
using MemberReports = std::map<config::Endpoint, MemberReport>;

} // namespace yardrill::gateway

#endif
